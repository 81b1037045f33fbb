"""A log handler that writes in a thread, so that logging never blocks."""

import logging
import threading
import time
from collections import deque

from . import catalogue

__all__ = ["BufferedHandler"]

MAX_BUFFERED_LINES = 5000  # lines kept while the stream is blocked
FLUSH_INTERVAL = 0.1  # seconds for which lines are collected before a write
LOG_DROPPED_LINE = '{"event":%d,"name":"log_dropped","lines":%d}'
CLOSE_TIMEOUT = 1.0  # seconds to write the remaining lines on close


class BufferedHandler(logging.Handler):
    """Formats records in the calling thread and writes them in another one.

    Lines beyond ``MAX_BUFFERED_LINES`` and lines whose write failed are dropped and
    counted. Before the next line that is buffered, a ``log_dropped`` line gives
    their number.
    """

    def __init__(self, stream):
        super().__init__()
        self._stream = stream
        self._lines = deque()
        self._dropped_count = 0
        self._is_closing = False
        self._wake_event = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def emit(self, record):
        """Format a record and buffer its line, or drop it if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped_count += 1
            return
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if self._dropped_count:
            count, self._dropped_count = self._dropped_count, 0
            self._lines.append(LOG_DROPPED_LINE % (catalogue.LOG_DROPPED.number, count))
        self._lines.append(line)
        self._wake_event.set()

    def close(self):
        """Write the buffered lines and stop the thread."""
        self._is_closing = True
        self._wake_event.set()
        self._thread.join(CLOSE_TIMEOUT)
        super().close()

    def _run(self):
        while not self._is_closing or self._lines:
            self._wake_event.wait()
            self._wake_event.clear()
            if not self._is_closing:
                # Lines logged meanwhile go into the same write.
                time.sleep(FLUSH_INTERVAL)
            self._write_lines()

    def _write_lines(self):
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The stream is closed or broken; the error cannot be logged either.
            self._dropped_count += len(lines)
