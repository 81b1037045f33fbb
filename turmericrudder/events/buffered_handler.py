"""A log handler that never keeps its caller waiting."""

import logging
import threading
import time
from collections import deque

from . import catalogue

__all__ = ["BufferedHandler"]

MAX_BUFFERED_LINES = 5000  # lines held while the stream does not take them
FLUSH_PAUSE = 0.1  # seconds between writes of what has come in
LOG_DROPPED_LINE = '{"event":%d,"name":"log_dropped","lines":%d}'
CLOSE_LIMIT = 1.0  # seconds for the rest when the process ends


class BufferedHandler(logging.Handler):
    """Formats at once and lets a thread write.

    What does not fit is dropped; the next line that fits tells how many.
    """

    def __init__(self, stream):
        super().__init__()
        self._stream = stream
        self._lines = deque()
        self._dropped = 0
        self._is_closing = False
        self._wakes = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def emit(self, record):
        """Take a record; called by the standard ``logging``."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._lines.append(
                LOG_DROPPED_LINE % (catalogue.LOG_DROPPED.number, dropped)
            )
        self._lines.append(line)
        self._wakes.set()

    def close(self):
        """Write what is left, then stop the thread."""
        self._is_closing = True
        self._wakes.set()
        self._thread.join(CLOSE_LIMIT)
        super().close()

    def _run(self):
        while not self._is_closing or self._lines:
            self._wakes.wait()
            self._wakes.clear()
            if not self._is_closing:
                # Lines that come meanwhile go into the same write.
                time.sleep(FLUSH_PAUSE)
            self._write()

    def _write(self):
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads the log any more; there is nowhere to say so.
            self._dropped += len(lines)
