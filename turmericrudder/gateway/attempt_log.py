"""Log lines of the attempts of a request."""

from ..events import catalogue
from ..units import MS_PER_SECOND

__all__ = ["log_attempt_ended", "log_attempt_started"]


def log_attempt_started(request, selection, now, is_new, is_hedge):
    """Add the line of an attempt that is about to be sent to the request's lines.

    :param is_new: whether its connection is a new one.
    :param is_hedge: whether an earlier attempt is still in flight.
    """
    target = selection.target
    request.log_buffer.append(
        catalogue.ROUTE_SENT,
        target=target.endpoint.id,
        service=request.service,
        failure_domain=target.endpoint.failure_domain,
        entry_revision=target.revision,
        expected_ms=round(selection.expected_latency * MS_PER_SECOND, 1),
        work_ms=round(selection.expected_service_time * MS_PER_SECOND, 1),
        cost_ms=round(selection.cost * MS_PER_SECOND, 1),
        object_age=selection.service_time_key,
        occupancy=round(target.get_load(now), 1),
        load_age_ms=target.get_load_age_ms(now),
        limit=target.rate_limiter.limit,
        left_ms=round((request.expires - now) * MS_PER_SECOND),
        new_connection=is_new,
        beside_first=is_hedge,
    )


def log_attempt_ended(request, target, outcome):
    """Add the line of an attempt that ended to the request's lines.

    :param outcome: ``None`` if it was cancelled.
    """
    request.log_buffer.append(
        catalogue.ROUTE_ENDED,
        target=target.endpoint.id,
        outcome="Cancelled" if outcome is None else outcome.log_name,
        status=getattr(outcome, "status", None),
        reason=getattr(outcome, "reason", None),
    )
