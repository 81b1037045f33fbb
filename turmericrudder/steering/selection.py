"""What a choice of a target is asked for, and what it answers."""

from dataclasses import dataclass
from enum import Enum

from .route import Route
from .tracked_target import TrackedTarget

__all__ = ["NoTarget", "NoTargetReason", "Selection", "SelectionRequest"]


class NoTargetReason(Enum):
    """Why no target was found."""

    NONE_REGISTERED = "none_registered"
    NONE_ALLOWED = "none_allowed"
    ALL_COLD = "all_cold"
    TOO_LATE = "too_late"


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """What matters of a request for the choice.

    :param affinity_key: value that requests for the same object share, or ``None``.
    :param arrived_at: monotonic time of the request's arrival.
    :param expires: monotonic time by which the answer must be there.
    :param attempted_ids: ids of targets that had this request already.
    :param in_flight_target_id: id of the target that runs it now; it may be chosen
        again.
    :param may_use_untried_target: whether a target that did not have it may be chosen.
    """

    service: str
    route: Route
    affinity_key: str | None
    arrived_at: float
    expires: float
    attempted_ids: frozenset[str] = frozenset()
    in_flight_target_id: str | None = None
    may_use_untried_target: bool = True


@dataclass(frozen=True, slots=True)
class Selection:
    """The target with the least cost.

    :param expected_latency: seconds until its answer: round trip, wait and work.
    :param slowdown: how much longer than usual work takes there now.
    :param region_utilization: requests for each slot of the region's targets.
    :param service_time_key: what the answer will teach of, see
        :class:`~turmericrudder.steering.service_time_estimator.ServiceTimeEstimator`.
    """

    target: TrackedTarget
    expected_latency: float
    round_trip: float
    expected_service_time: float
    slowdown: float
    cost: float
    region_utilization: float
    service_time_key: object
    is_remote: bool


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can take the request.

    :param retry_after: seconds after which there may be room.
    """

    reason: NoTargetReason
    retry_after: float
