"""What a choice of a target is asked for, and what it answers."""

from dataclasses import dataclass
from enum import Enum

from .route import Route
from .target_record import TargetRecord

__all__ = ["Chosen", "NoTarget", "Obstacle", "Query"]


class Obstacle(Enum):
    """Why no target was found."""

    NONE_REGISTERED = "none_registered"
    NONE_ALLOWED = "none_allowed"
    ALL_COLD = "all_cold"
    TOO_LATE = "too_late"


@dataclass(frozen=True, slots=True)
class Query:
    """What matters of a request for the choice.

    :param object_key: value that requests for the same object share, or ``None``.
    :param arrived: monotonic time of the request's arrival.
    :param expires: monotonic time by which the answer must be there.
    :param tried: ids of targets that had this request already.
    :param running: id of the target that runs it now; it may be chosen again.
    :param may_spread: whether a target that did not have it may be chosen.
    """

    service: str
    route: Route
    object_key: str | None
    arrived: float
    expires: float
    tried: frozenset[str] = frozenset()
    running: str | None = None
    may_spread: bool = True


@dataclass(frozen=True, slots=True)
class Chosen:
    """The target with the least cost.

    :param expected: seconds until its answer: round trip, wait and work.
    :param slowdown: how much longer than usual work takes there now.
    :param crowd: requests for each slot of the region's targets.
    :param work_key: what the answer will teach of, see
        :class:`~turmericrudder.steering.work_estimate.WorkEstimate`.
    """

    record: TargetRecord
    expected: float
    round_trip: float
    work: float
    slowdown: float
    cost: float
    crowd: float
    work_key: object
    is_away: bool


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can take the request.

    :param retry_after: seconds after which there may be room.
    """

    obstacle: Obstacle
    retry_after: float
