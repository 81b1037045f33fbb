"""The input and the results of the selection of a target."""

from dataclasses import dataclass
from enum import Enum

from .route import Route
from .tracked_target import TrackedTarget

__all__ = ["NoTarget", "NoTargetReason", "Selection", "SelectionRequest"]


class NoTargetReason(Enum):
    """Why no target was selected.

    - ``NONE_REGISTERED``: the service has no registered target.
    - ``NONE_ALLOWED``: all targets are draining, removed, evacuated, outside the home
      regions or were attempted already.
    - ``ALL_COLD``: the remaining targets are cold, and this instance may not send them
      more requests now.
    - ``ALL_LIMITED``: some of the remaining targets have named a limit on their request
      rate, and this instance's part of it is used up; others are cold.
    - ``ALL_PAUSED``: the remaining targets want no requests for some seconds.
    - ``ALL_UNTRIED``: the remaining targets have not responded to any request yet, and
      have enough in flight.
    - ``TOO_LATE``: the response is expected after the request's deadline.
    """

    NONE_REGISTERED = "none_registered"
    NONE_ALLOWED = "none_allowed"
    ALL_COLD = "all_cold"
    ALL_LIMITED = "all_limited"
    ALL_PAUSED = "all_paused"
    ALL_UNTRIED = "all_untried"
    TOO_LATE = "too_late"


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """The properties of a request that a selection depends on.

    :param affinity_key: key that requests for the same object share, or ``None``.
    :param arrived_at: monotonic time of the request's arrival.
    :param expires: monotonic time of the deadline for the response.
    :param attempted_ids: ids of targets that the request was sent to already.
    :param in_flight_target_id: id of the target of the attempt in flight, which may
        be selected again for a hedge; ``None`` for other attempts.
    :param may_use_untried_target: whether a target that the request was not sent to
        may be selected.
    :param has_waited_for_trials: whether it has waited for the first response of a
        target, so that the untried ones may get more requests.
    """

    service: str
    route: Route
    affinity_key: str | None
    arrived_at: float
    expires: float
    attempted_ids: frozenset[str] = frozenset()
    in_flight_target_id: str | None = None
    may_use_untried_target: bool = True
    has_waited_for_trials: bool = False

    @property
    def order_key(self):
        """The key by which targets are ordered; only with an affinity key."""
        return f"{self.route.name}/{self.affinity_key}"


# Not frozen: one is made for each candidate, and frozen ones take thrice the time.
@dataclass(slots=True)
class Selection:
    """The selected target, with the estimates that led to it.

    :param expected_latency: seconds: round trip, wait and service time.
    :param round_trip: seconds.
    :param expected_service_time: seconds, at the target's current slowdown.
    :param slowdown: factor by which the target is slower than usual now.
    :param cost: seconds by which the target was compared with others.
    :param region_utilization: load divided by slots over the local region's targets.
    :param service_time_key: key under which the measured service time is to be
        recorded, see
        :class:`~turmericrudder.steering.service_time_estimator.ServiceTimeEstimator`.
    :param is_remote: whether the target is in another region.
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
    """The result if no target can take the request.

    :param retry_after: seconds after which a retry may succeed.
    """

    reason: NoTargetReason
    retry_after: float
