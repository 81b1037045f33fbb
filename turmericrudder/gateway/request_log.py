"""Log lines of requests, sampled under load.

A request's lines are buffered until it ends. A request is normal if its one attempt
returned status 200 within the route's objective, otherwise abnormal. Each of the two
kinds has a rate up to which all requests are logged. Beyond it, abnormal ones are
omitted, and normal ones are sampled by their id, so that all instances log the same
ones.
"""

import time
import zlib

import anyio

from ..events import catalogue
from ..routing import TokenBucket

__all__ = ["RequestLog", "RequestLogBuffer"]

NORMAL_REQUESTS_PER_SECOND = 20.0  # rate up to which all are logged
NORMAL_SAMPLING_INTERVAL = 32  # beyond that rate, one in so many is logged
ABNORMAL_REQUESTS_PER_SECOND = 300.0  # rate up to which all are logged
BURST_SECONDS = 2.0  # of either rate that may be logged at once
REPORT_INTERVAL = 5.0  # seconds between lines that count the omitted requests


class RequestLogBuffer:
    """The log lines of one request that has not ended yet."""

    __slots__ = ("_lines", "id")

    def __init__(self, request_id):
        """Start without lines.

        :param request_id: the client's attempt id.
        """
        self.id = request_id
        self._lines = []

    def append(self, event, **fields):
        """Add a line with the current time."""
        self._lines.append((event, time.time(), fields))

    def count(self, event):
        """Return the number of lines of an event."""
        return sum(line_event is event for line_event, _, _ in self._lines)

    def iter_lines(self):
        """Yield (event, Unix time in seconds, fields) in order."""
        yield from self._lines


class RequestLog:
    """Decides which requests are logged, and writes their lines."""

    __slots__ = (
        "_abnormal_bucket",
        "_log",
        "_normal_bucket",
        "_omitted",
        "_reported_at",
    )

    def __init__(self, log):
        now = anyio.current_time()
        self._log = log
        self._normal_bucket = TokenBucket(
            NORMAL_REQUESTS_PER_SECOND, BURST_SECONDS, now
        )
        self._abnormal_bucket = TokenBucket(
            ABNORMAL_REQUESTS_PER_SECOND, BURST_SECONDS, now
        )
        self._omitted = {}
        self._reported_at = now

    def finish_request(self, log_buffer, event, is_normal, **fields):
        """Write the lines of a request that has ended, if it is to be logged.

        :param event: event of the last line; ``fields`` are that line's fields.
        :param is_normal: whether the request is a normal one.
        """
        now = anyio.current_time()
        if self._should_log(log_buffer, is_normal, now):
            for line_event, logged_at, line_fields in log_buffer.iter_lines():
                if is_normal and line_event is catalogue.ROUTE_ENDED:
                    continue  # the last line has the same data
                self._log.write_at(
                    line_event, logged_at, {"id": log_buffer.id, **line_fields}
                )
            self._log.write(event, id=log_buffer.id, **fields)
        else:
            self._omitted[event.name] = self._omitted.get(event.name, 0) + 1
        if self._omitted and now - self._reported_at >= REPORT_INTERVAL:
            self._reported_at = now
            self._log.write(catalogue.ROUTE_SAMPLED, omitted=self._omitted)
            self._omitted = {}

    def _should_log(self, log_buffer, is_normal, now):
        bucket = self._normal_bucket if is_normal else self._abnormal_bucket
        if bucket.has_tokens(now):
            bucket.take(1, now)
            return True
        return (
            is_normal
            and zlib.crc32(log_buffer.id.encode()) % NORMAL_SAMPLING_INTERVAL == 0
        )
