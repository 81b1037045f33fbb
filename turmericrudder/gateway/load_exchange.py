"""Exchange of targets' loads between the instances of a region.

One of a hundred instances hears from one of a thousand targets too rarely to know its
load. Each instance sends the reports it received to the reader of its region, and gets
those of the others and the weights that the reader has planned. Nothing waits for the
exchange: without it an instance decides by its own reports.
"""

from typing import Annotated

import anyio
import msgspec

from ..errors import PeerUnreachable
from ..events import catalogue
from ..ranges import MAX_COUNT
from ..steering import LoadBoard, TargetReport, WeightPlanner
from ..steering.server_load import MAX_SLOWDOWN, MAX_UTILIZATION
from ..steering.weight_planner import MIN_WEIGHT
from ..units import MS_PER_SECOND

__all__ = ["LoadExchange", "LoadSummary", "LoadUpdate"]

MIN_INTERVAL = 0.25  # seconds; a fraction of a typical service time
# Seconds of the interval for each instance of the region, which bounds the exchanges
# that the reader handles in a second.
INTERVAL_PER_MEMBER = 0.01
PLAN_INTERVAL = 1.0  # seconds between two plans of the weights
MAX_REPORT_AGE = 5.0  # seconds; reports with a higher age are rejected as invalid
ROUNDING = 0.01  # of the utilization that a report names

LoweredWeight = Annotated[float, msgspec.Meta(ge=MIN_WEIGHT, le=1)]


class _Report(msgspec.Struct, array_like=True):
    """A :class:`TargetReport`, with its age in place of a time.

    The ranges are checked for each report alone, so that one that cannot be used does
    not spoil the others of a message.

    :param age_ms: milliseconds since the latest report.
    """

    target_id: str
    load: int
    slowdown: float
    age_ms: int
    utilization_sum: float = 0.0
    count: int = 0

    def is_valid(self):
        """Return whether all figures are in range."""
        return (
            0 <= self.age_ms <= MAX_REPORT_AGE * MS_PER_SECOND
            and 0 <= self.load <= MAX_COUNT
            and 0 < self.slowdown <= MAX_SLOWDOWN
            and 0 <= self.count <= MAX_COUNT
            and 0 <= self.utilization_sum <= MAX_UTILIZATION * self.count + ROUNDING
        )


class LoadSummary(msgspec.Struct):
    """The reports that one instance received since its last summary.

    :param instance: name of the instance.
    :param weights_id: identifies the weights it uses, empty without any.
    :param weights: these weights by target id, if the reader has asked for them.
    """

    instance: str
    weights_id: str
    reports: list[_Report]
    weights: dict[str, LoweredWeight] | None = None


class LoadUpdate(msgspec.Struct):
    """The response of the reader.

    :param weights: the weights below 1 by target id, ``None`` if the instance has them
        or the reader has none.
    :param must_send_weights: whether the reader has just started, so that it needs the
        weights in use.
    """

    weights_id: str
    weights: dict[str, LoweredWeight] | None
    reports: list[_Report]
    must_send_weights: bool = False


class LoadExchange:
    """Sends and receives reports; on the reader, also plans the weights.

    :param own_member: this instance's member record.
    :param collector: the :class:`LoadCollector` with this instance's own reports.
    :param weights: the :class:`TargetWeights` that the balancer uses.
    :ivar exchange_count: responses that the reader sent to this instance.
    """

    __slots__ = (
        "_board",
        "_catalog",
        "_collector",
        "_is_reader",
        "_last_sent",
        "_log",
        "_members",
        "_must_send_weights",
        "_own_member",
        "_peer_client",
        "_planned_at",
        "_planner",
        "_regions",
        "_weights",
        "_weights_id",
        "exchange_count",
    )

    def __init__(
        self, settings, own_member, members, catalog, collector, weights, client, log
    ):
        self._own_member = own_member
        self._members = members
        self._catalog = catalog
        self._collector = collector
        self._weights = weights
        self._peer_client = client
        self._log = log
        self._regions = settings.regions
        self._board = LoadBoard()
        self._planner = WeightPlanner()
        self._planned_at = 0.0
        self._is_reader = False
        self._weights_id = ""
        self._must_send_weights = False
        self.exchange_count = 0
        self._last_sent = {}  # instance name -> time of the last response

    async def run(self):
        """Exchange until cancelled."""
        while True:
            await anyio.sleep(
                max(MIN_INTERVAL, INTERVAL_PER_MEMBER * self._members.region_size)
            )
            now = anyio.current_time()
            reports = self._collector.take()
            address = self._members.get_reader_address()
            if address is None:
                self._act_as_reader(reports, now)
            else:
                self._is_reader = False
                await self._exchange(address, reports, now)

    def get_weights(self):
        """Return the weights below 1 that are in use, by target id."""
        return self._weights.get_all()

    def handle_summary(self, summary):
        """Return the :class:`LoadUpdate` for a :class:`LoadSummary`."""
        now = anyio.current_time()
        for report in _decode_reports(summary.reports, now):
            self._record(report, now)
            self._apply_report(report)
        if summary.weights and not self._weights_id:
            self._adopt(summary, now)
        since = self._last_sent.get(summary.instance, 0.0)
        self._last_sent[summary.instance] = now
        if len(self._last_sent) > 2 * len(self._members) + 1:
            del self._last_sent[next(iter(self._last_sent))]
        has_weights = self._weights_id not in ("", summary.weights_id)
        return LoadUpdate(
            self._weights_id,
            self._weights.get_all() if has_weights else None,
            _encode_reports(self._board.get_since(since, now), now),
            must_send_weights=not self._weights_id and bool(summary.weights_id),
        )

    def _adopt(self, summary, now):
        """Continue from the weights that another instance still uses."""
        weights = {
            target_id: weight
            for target_id, weight in summary.weights.items()
            if weight < 1.0
        }
        self._weights.replace(weights)
        self._planner.adopt(weights, now)
        self._weights_id = summary.weights_id

    def _act_as_reader(self, reports, now):
        if not self._is_reader:
            self._is_reader = True
            self._planner.adopt(self._weights.get_all(), now)
        for report in reports:
            self._record(report, now)
        if now < self._planned_at + PLAN_INTERVAL:
            return
        self._planned_at = now
        weights = self._planner.plan(self._get_groups(), now)
        if self._weights.replace(weights):
            self._weights_id = f"{self._own_member.nonce}.{self._weights.revision}"
            self._log.write(
                catalogue.WEIGHTS_PLANNED,
                lowered=len(weights),
                lowest=round(min(weights.values(), default=1.0), 2),
            )

    async def _exchange(self, address, reports, now):
        summary = LoadSummary(
            self._own_member.name,
            self._weights_id,
            _encode_reports(reports, now),
            self._weights.get_all() if self._must_send_weights else None,
        )
        try:
            update = await self._peer_client.exchange_loads(address, summary)
        except PeerUnreachable:
            return  # the next exchange may be with another reader
        self.exchange_count += 1
        now = anyio.current_time()
        for report in _decode_reports(update.reports, now):
            self._apply_report(report)
        self._must_send_weights = update.must_send_weights
        if update.weights is not None:
            self._weights.replace(update.weights)
            self._weights_id = update.weights_id

    def _record(self, report, now):
        self._board.record(report, now)
        self._planner.record(report)

    def _apply_report(self, report):
        target = self._catalog.get_target(report.target_id)
        if target is not None:
            target.record_shared_load(report)

    def _get_groups(self):
        """Return the ids of the usable targets by service and region."""
        groups = {}
        for service in self._catalog.get_services():
            for target in self._catalog.get_targets(service):
                if self._catalog.is_usable(target):
                    region = self._regions.get(target.endpoint.failure_domain)
                    groups.setdefault((service, region), []).append(target.endpoint.id)
        return list(groups.values())


def _encode_reports(reports, now):
    return [
        _Report(
            report.target_id,
            report.load,
            round(report.slowdown, 2),
            max(0, int((now - report.reported_at) * MS_PER_SECOND)),
            round(report.utilization_sum, 2),
            report.count,
        )
        for report in reports
    ]


def _decode_reports(reports, now):
    """Yield the valid reports as :class:`TargetReport`."""
    for report in reports:
        if report.is_valid():
            yield TargetReport(
                report.target_id,
                report.load,
                report.slowdown,
                now - report.age_ms / MS_PER_SECOND,
                report.utilization_sum,
                report.count,
            )
