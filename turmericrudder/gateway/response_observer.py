"""What the responses of targets tell about the targets."""

import time

import anyio

from ..events import catalogue
from ..platform import decode_leaving, decode_pause, protocol
from ..steering import ServerLoad, parse_rate_limit

__all__ = ["ResponseObserver"]


class ResponseObserver:
    """Passes on what responses show: contact, load, limits and service times.

    :param load_collector: a :class:`~turmericrudder.steering.LoadCollector` for the
        targets' load reports.
    :param log: for the events of targets.
    """

    __slots__ = ("_balancer", "_catalog", "_load_collector", "_log")

    def __init__(self, catalog, balancer, load_collector, log):
        self._catalog = catalog
        self._balancer = balancer
        self._load_collector = load_collector
        self._log = log

    def record_head(self, target, connection, headers):
        """Record what the head of a response says.

        :param headers: {name in lower case: value} as bytes.
        """
        now = anyio.current_time()
        profile = self._catalog.get_profile(target.endpoint.service)
        if profile is not None:
            target.cold.record_contact(profile.cold_start, connection.opened_at, now)
        self._record_notices(target, connection.status, connection.headers, now)
        self._record_load_report(target, headers, now)
        self._record_rate_limit(target, headers, now)

    def record_complete(self, route, selection, status, latency, now):
        """Record a complete response with its target and the route's estimator.

        :param selection: the attempt's :class:`~turmericrudder.steering.Selection`.
        :param latency: seconds from sending to the end of the response.
        """
        target = selection.target
        if status >= 500:
            target.record_failure(now)
            return
        queue_time = max(
            0.0,
            selection.expected_latency
            - selection.expected_service_time
            - selection.round_trip,
        )
        service_time = (
            max(0.0, latency - selection.round_trip - queue_time) / selection.slowdown
        )
        target.record_response(service_time, now)
        self._balancer.get_estimator(route).record(
            selection.service_time_key, service_time
        )

    def _record_notices(self, target, status, header_pairs, now):
        endpoint_id = target.endpoint.id
        if decode_leaving(status, header_pairs) and target.notices.record_leaving(now):
            self._log.write(catalogue.TARGET_LEAVING, target=endpoint_id)
        pause = decode_pause(status, header_pairs, time.time())
        if pause is None:
            self._log.write(catalogue.TARGET_PAUSE_REFUSED, target=endpoint_id)
        elif pause and target.record_pause(pause, now):
            self._log.write(catalogue.TARGET_PAUSED, target=endpoint_id, pause_s=pause)

    def _record_load_report(self, target, headers, now):
        text = headers.get(protocol.SERVER_LOAD_HEADER)
        if text is None:
            return
        load = ServerLoad.parse(text.decode("latin-1"))
        if load is not None:
            target.record_load_report(load, now)
            self._load_collector.record(target.endpoint.id, load, now)

    def _record_rate_limit(self, target, headers, now):
        """Set or lift the target's limit; a malformed one changes nothing."""
        text = headers.get(protocol.SERVER_LIMIT_HEADER)
        limit = parse_rate_limit(text.decode("latin-1")) if text is not None else None
        if text is not None and limit is None:
            return
        limiter = target.rate_limiter
        if limit is not None and limiter.limit is None:
            self._log.write(
                catalogue.TARGET_LIMITED, target=target.endpoint.id, limit=limit
            )
        elif limit is None and limiter.limit is not None:
            self._log.write(catalogue.TARGET_UNLIMITED, target=target.endpoint.id)
        self._balancer.record_limit(target, limit, now)
