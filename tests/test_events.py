"""The event catalogue, the log handler, request logs and the metrics format.

The catalogue has to match the code that writes events and ``docs/events.md``.
"""

import io
import logging
import re
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from prometheus_client.parser import text_string_to_metric_families

from turmericrudder.events import catalogue, iter_events
from turmericrudder.events.buffered_handler import MAX_BUFFERED_LINES, BufferedHandler
from turmericrudder.gateway.request_log import (
    NORMAL_REQUESTS_PER_SECOND,
    RequestLog,
    RequestLogBuffer,
)
from turmericrudder.metrics import Metrics

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "events.md").read_text()


def test_numbers_and_names_are_unique():
    events = list(iter_events())
    assert len({event.number for event in events}) == len(events)
    assert len({event.name for event in events}) == len(events)


def test_documentation_lists_exactly_the_catalogue():
    rows = re.findall(r"^\| (\d+) \| `(\w+)` \|", PAGE, re.MULTILINE)
    listed = [(int(number), name) for number, name in rows]
    assert listed == [(event.number, event.name) for event in iter_events()]


def test_every_event_is_used_in_the_code():
    code = "".join(
        path.read_text()
        for path in (ROOT / "turmericrudder").rglob("*.py")
        if path.name != "catalogue.py"
    )
    unused = [
        e.name for e in iter_events() if f"catalogue.{e.name.upper()}" not in code
    ]
    assert unused == []


def test_handler_does_not_block_and_counts_dropped_lines():
    """More lines are logged than the handler buffers while its stream is blocked."""

    class BlockedStream(io.StringIO):
        def __init__(self):
            super().__init__()
            self.is_writing = threading.Event()
            self.unblocked = threading.Event()

        def write(self, text):
            self.is_writing.set()
            self.unblocked.wait()
            return super().write(text)

    stream = BlockedStream()
    handler = BufferedHandler(stream)
    handler.setFormatter(logging.Formatter("%(message)s"))
    handler.emit(logging.makeLogRecord({"msg": "before"}))
    assert stream.is_writing.wait(5.0)
    began = time.monotonic()
    for number in range(MAX_BUFFERED_LINES + 100):
        handler.emit(logging.makeLogRecord({"msg": str(number)}))
    assert time.monotonic() - began < 2.0
    stream.unblocked.set()
    deadline = time.monotonic() + 5.0
    while stream.getvalue().count("\n") <= MAX_BUFFERED_LINES:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    handler.emit(logging.makeLogRecord({"msg": "after"}))
    handler.close()
    lines = stream.getvalue().splitlines()
    assert lines[:2] == ["before", "0"] and lines[-1] == "after"
    assert re.search(r'log_dropped.*"lines":100\b', lines[-2])
    assert len(lines) == MAX_BUFFERED_LINES + 3


@pytest.mark.anyio
async def test_failed_requests_are_always_logged_and_normal_ones_sampled():
    written = []
    log = SimpleNamespace(
        write=lambda event, **fields: written.append((event, fields)),
        write_at=lambda event, timestamp, fields: written.append((event, fields)),
    )
    request_log = RequestLog(log)
    for number in range(1000):
        log_buffer = RequestLogBuffer(f"p{number}")
        request_log.finish_request(
            log_buffer, catalogue.ROUTE_ANSWERED, True, status=200
        )
    normal_count = len(written)
    assert (
        NORMAL_REQUESTS_PER_SECOND
        <= normal_count
        <= 3 * NORMAL_REQUESTS_PER_SECOND + 1000 / 32 * 2
    )
    log_buffer = RequestLogBuffer("bad")
    log_buffer.append(catalogue.ROUTE_SENT, target="t")
    request_log.finish_request(log_buffer, catalogue.ROUTE_REFUSED, False, status=502)
    assert [event.name for event, _ in written[normal_count:]] == [
        "route_sent",
        "route_refused",
    ]
    assert {fields["id"] for _, fields in written[normal_count:]} == {"bad"}


def test_metrics_are_formatted_for_prometheus():
    metrics = Metrics()
    metrics.increment("requests", status=200)
    metrics.increment("requests", status=200)
    for seconds in (0.004, 0.3, 100.0):
        metrics.observe("request_seconds", seconds)
    families = {
        family.name: family
        for family in text_string_to_metric_families(metrics.format({"targets": 3}))
    }
    (counter,) = families["turmericrudder_requests"].samples
    assert (counter.labels, counter.value) == ({"status": "200"}, 2.0)
    assert families["turmericrudder_targets"].samples[0].value == 3
    buckets = {
        sample.labels["le"]: sample.value
        for sample in families["turmericrudder_request_seconds"].samples
        if "le" in sample.labels
    }
    assert (buckets["0.002"], buckets["0.005"], buckets["0.4"]) == (0, 1, 2)
    assert (buckets["15"], buckets["+Inf"]) == (2, 3)
