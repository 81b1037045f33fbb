"""Reports of targets that ended: decisions, publication and decoding."""

from types import SimpleNamespace

import anyio
import pytest

from turmericrudder.errors import StoreEntryInvalid, StoreUnavailable
from turmericrudder.gateway.client_request import ClientRequest
from turmericrudder.gateway.crash_publisher import MAX_PUBLISHED, CrashPublisher
from turmericrudder.platform import decode_crash_report, encode_crash_report
from turmericrudder.platform.crash_reports import get_crash_key
from turmericrudder.steering import CrashLedger, CrashReport
from turmericrudder.steering.crash_ledger import MAX_REPORTS

from .steering_makers import make_route

DEADLY, OTHER = "d" * 32, "e" * 32


def _add(ledger, fingerprint, *targets):
    """Add reports on targets that ended one after another."""
    for target in targets:
        depth = ledger.get_depth(fingerprint) + 1
        ledger.add(CrashReport(fingerprint, target, depth))


def test_request_is_blocked_after_three_targets_in_a_row():
    ledger = CrashLedger()
    _add(ledger, DEADLY, "a", "b")
    assert not ledger.get_blocked()
    _add(ledger, DEADLY, "c")
    assert ledger.get_blocked() == {DEADLY}
    ledger.remove(DEADLY, "a")
    assert not ledger.get_blocked()


def test_targets_that_end_together_block_no_request():
    ledger = CrashLedger()
    for target in "abcdefgh":
        ledger.add(CrashReport(OTHER, target, 1))
    assert not ledger.get_blocked()


def test_same_target_reported_again_counts_once():
    ledger = CrashLedger()
    for depth in range(1, 9):
        ledger.add(CrashReport(OTHER, "a", depth))
    assert len(ledger) == 1 and not ledger.get_blocked()


def test_request_in_progress_at_the_victims_of_another_is_not_blocked():
    ledger = CrashLedger()
    for target in "abcd":
        ledger.add(CrashReport(DEADLY, target, 2))
    _add(ledger, OTHER, "a", "b", "c")
    assert not ledger.get_blocked()
    ledger.add(CrashReport(DEADLY, "e", 3))
    assert ledger.get_blocked() == {DEADLY}


def test_two_deadly_requests_are_both_blocked():
    ledger = CrashLedger()
    _add(ledger, DEADLY, "a", "b", "c", "d")
    _add(ledger, OTHER, "c", "d", "e", "f", "g")
    assert ledger.get_blocked() == {OTHER}
    _add(ledger, DEADLY, "h")
    assert ledger.get_blocked() == {DEADLY, OTHER}


def test_flood_of_reports_is_bounded():
    ledger = CrashLedger()
    for number in range(MAX_REPORTS + 100):
        ledger.add(CrashReport(f"{number:032x}", "a", 1))
    assert len(ledger) == MAX_REPORTS
    _add(ledger, DEADLY, "a", "b", "c")
    assert ledger.get_blocked() == {DEADLY} and len(ledger) == MAX_REPORTS


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("crashes/x", b"{}"),
        ("crashes/" + "a" * 32, b'{"depth": 1}'),
        ("crashes/../../op", b'{"depth": 1}'),
        (f"crashes/{DEADLY}/{OTHER}", b""),
        (f"crashes/{DEADLY}/{OTHER}", b'{"depth": 0}'),
        (f"crashes/{DEADLY}/{OTHER}", b'{"depth": -1}'),
        (f"crashes/{DEADLY}/{OTHER}", b'{"depth": 1e400}'),
        (f"crashes/{DEADLY}/{OTHER}", b'{"depth": 123456789012345678901234567890}'),
        (f"crashes/{DEADLY}/{OTHER}", b"[" * 100_000),
    ],
)
def test_unusable_report_is_refused(key, value):
    with pytest.raises(StoreEntryInvalid):
        decode_crash_report(key, value)


def test_report_is_decoded_as_it_was_encoded():
    report = CrashReport(DEADLY, OTHER[:16], 3)
    key = get_crash_key(report.fingerprint, report.target)
    assert decode_crash_report(key, encode_crash_report(report)) == report


class RecordingStore:
    """Takes transactions and keeps the keys."""

    def __init__(self):
        self.era, self.keys, self.has_outage, self.commits = 1, {}, False, 0

    async def grant_lease(self, ttl):
        return 7

    async def commit(self, puts, removals, lease=0):
        if self.has_outage:
            raise StoreUnavailable("outage")
        self.commits += 1
        self.keys |= puts
        for key in removals:
            self.keys.pop(key, None)


async def _publish(store, reports, change):
    log = SimpleNamespace(write=lambda event, **fields: None)
    publisher = CrashPublisher(store, ["g1"], log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(publisher.run)
        for report in reports:
            publisher.publish(report)
        await anyio.sleep(0.5)
        change(publisher)
        await anyio.sleep(0.5)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_reports_that_a_restore_of_the_store_lost_are_written_again():
    store = RecordingStore()

    def restore(publisher):
        store.era += 1
        store.keys.clear()

    await _publish(store, [CrashReport(DEADLY, OTHER, 1)], restore)
    assert list(store.keys) == [get_crash_key(DEADLY, OTHER)]


@pytest.mark.anyio
async def test_reports_of_an_outage_are_written_after_it():
    store = RecordingStore()
    store.has_outage = True

    def end_outage(publisher):
        store.has_outage = False

    await _publish(store, [CrashReport(DEADLY, OTHER, 1)], end_outage)
    assert list(store.keys) == [get_crash_key(DEADLY, OTHER)]


@pytest.mark.anyio
async def test_withdrawn_report_is_removed_and_a_flood_is_bounded():
    store = RecordingStore()
    store.has_outage = True
    reports = [CrashReport(f"{number:032x}", OTHER, 1) for number in range(2000)]

    def withdraw(publisher):
        store.has_outage = False
        publisher.withdraw(reports[-1].fingerprint, OTHER)

    await _publish(store, reports, withdraw)
    assert len(store.keys) <= MAX_PUBLISHED
    assert get_crash_key(reports[-1].fingerprint, OTHER) not in store.keys


@pytest.mark.anyio
async def test_flood_keeps_no_more_keys_in_the_store_and_the_deepest_reports():
    store = RecordingStore()
    limit = 40
    deep = CrashReport(DEADLY, OTHER, 3)
    reports = [CrashReport(f"{number:032x}", OTHER, 1) for number in range(60)]
    log = SimpleNamespace(write=lambda event, **fields: None)
    publisher = CrashPublisher(store, ["g"] * (MAX_PUBLISHED // limit), log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(publisher.run)
        for report in [deep, *reports]:
            publisher.publish(report)
            await anyio.sleep(0.03)
        await anyio.sleep(2.0)
        tasks.cancel_scope.cancel()
    assert len(store.keys) <= MAX_PUBLISHED // (MAX_PUBLISHED // limit)
    assert get_crash_key(DEADLY, OTHER) in store.keys
    assert get_crash_key(reports[-1].fingerprint, OTHER) in store.keys


def _make_request(**changes):
    fields = {
        "method": "POST",
        "request_target": b"/a?b",
        "headers": [(b"host", b"h"), (b"user-agent", b"u"), (b"x-attempt-id", b"1")],
        "attempt_id": b"1",
        "affinity_key": None,
        "route": make_route(),
        "service": "s",
        "arrived_at": 0.0,
        "expires": 1.0,
        "deadline": 1.0,
        "log_buffer": None,
        "body": b"body",
    }
    return ClientRequest(**fields | changes)


def test_fingerprint_is_of_what_a_caller_repeats():
    fingerprint = _make_request().get_fingerprint()
    again = [(b"host", b"h"), (b"x-attempt-id", b"2"), (b"user-agent", b"u")]
    assert _make_request(headers=again).get_fingerprint() == fingerprint
    others = [
        {"method": "PUT"},
        {"request_target": b"/a?c"},
        {"body": b"other"},
        {"body": None, "body_start": b"bod", "body_length": None},
        {"headers": [(b"host", b"i"), (b"user-agent", b"u")]},
        {"headers": [(b"host", b"h"), (b"user-agent", b"u"), (b"authorization", b"x")]},
    ]
    digests = {_make_request(**changes).get_fingerprint() for changes in others}
    assert len(digests | {fingerprint}) == len(others) + 1
