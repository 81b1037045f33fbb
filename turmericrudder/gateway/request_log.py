"""The log lines of requests, bounded under load.

A request's lines are kept until it ends. One that failed, came late or needed
more than one send always gets its lines, up to a rate; of the others, those
beyond a rate are chosen by id, so that all instances choose alike.
"""

import time
import zlib

import anyio

from ..events import catalogue
from ..routing import TokenBucket

__all__ = ["RequestLog", "RequestLogBuffer"]

NORMAL_REQUESTS_PER_SECOND = (
    20.0  # requests a second that get lines although all went well
)
PLAIN_SAMPLE = 32  # beyond that, one request in so many
TROUBLED_RATE = 300.0  # requests a second that get lines because of trouble
BURST = 2.0  # seconds of either rate that may come at once
REPORT_PAUSE = 5.0  # seconds between lines that count what was left out


class RequestLogBuffer:
    """What happened to one request so far."""

    __slots__ = ("_lines", "id")

    def __init__(self, request_id):
        self.id = request_id
        self._lines = []

    def append(self, event, **fields):
        """Keep a line until the request ends."""
        self._lines.append((event, time.time(), fields))

    def count(self, event):
        """Return how many lines of an event are kept."""
        return sum(kept is event for kept, _, _ in self._lines)

    def iter_lines(self):
        """Yield (event, Unix time, fields) in order."""
        yield from self._lines


class RequestLog:
    """Decides which requests get lines, and writes them."""

    __slots__ = ("_log", "_omitted", "_plain", "_reported_at", "_troubled")

    def __init__(self, log):
        now = anyio.current_time()
        self._log = log
        self._plain = TokenBucket(NORMAL_REQUESTS_PER_SECOND, BURST, now)
        self._troubled = TokenBucket(TROUBLED_RATE, BURST, now)
        self._omitted = {}
        self._reported_at = now

    def finish_request(self, log_buffer, event, is_plain, **fields):
        """Write the lines of a request that has ended with ``event``.

        :param is_plain: whether all went well at the first send.
        """
        now = anyio.current_time()
        if self._is_chosen(log_buffer, is_plain, now):
            for kept, when, kept_fields in log_buffer.iter_lines():
                if is_plain and kept is catalogue.ROUTE_ENDED:
                    continue  # the last line says the same
                self._log.write_at(kept, when, {"id": log_buffer.id, **kept_fields})
            self._log.write(event, id=log_buffer.id, **fields)
        else:
            self._omitted[event.name] = self._omitted.get(event.name, 0) + 1
        if self._omitted and now - self._reported_at >= REPORT_PAUSE:
            self._reported_at = now
            self._log.write(catalogue.ROUTE_SAMPLED, omitted=self._omitted)
            self._omitted = {}

    def _is_chosen(self, log_buffer, is_plain, now):
        bucket = self._plain if is_plain else self._troubled
        if bucket.has_tokens(now):
            bucket.take(1, now)
            return True
        return is_plain and zlib.crc32(log_buffer.id.encode()) % PLAIN_SAMPLE == 0
