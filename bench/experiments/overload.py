"""Experiment: load at three times the capacity.

Some load reports are wrong or late, and an entry instance is killed.
"""

import time

import anyio

from ..cluster import get_json, post_json
from ..measure import Measure
from ..sample import get_quantile_ms
from ..spans import get_max_concurrency, get_spans
from .common import get_targets, offer_load, start_cluster

SERVICE = "lensreader"
SERVICE_TIME = 0.4  # seconds
SLOTS = 5
TARGET_COUNT = 16
CAPACITY = SLOTS * TARGET_COUNT / SERVICE_TIME  # requests a second
OFFERED_RATE = 3 * CAPACITY  # requests a second
DURATION = 12.0  # seconds
WARM_UP = 2.0  # seconds that are not counted
KILL_AFTER = 6.0  # seconds from the start of the load
KILLED_INSTANCE = "piedmont-b-1"
RECOVERY = 3.0  # seconds after the kill that are not counted
REFUSAL_BOUND_MS = 50.0
GOODPUT_BOUND = 0.95  # share of the capacity


async def run(seed):
    """Return the measures."""
    async with start_cluster(times={SERVICE: {"prescriptions": "400ms"}}) as cluster:
        await _falsify_load_reports(cluster)
        rates = dict.fromkeys(("gulf", "piedmont", "delta"), OFFERED_RATE / 3)
        began = time.time()
        round_robin = await offer_load(
            cluster, rates, DURATION, seed, policy="round_robin", timeout=3.0
        )
        baseline = await _summarize(cluster, round_robin, began)
        await anyio.sleep(1.0)
        sheds_before = await _count_shed_requests(cluster)
        began = time.time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_kill_instance, cluster)
            samples = await offer_load(cluster, rates, DURATION, seed, timeout=3.0)
        result = await _summarize(cluster, samples, began)
        sheds_after = await _count_shed_requests(cluster)
    return [
        Measure("overload.most_held", result["most"], "slots", SLOTS, baseline["most"]),
        Measure(
            "overload.sheds", sheds_after - sheds_before, "requests", None, sheds_before
        ),
        Measure(
            "overload.goodput",
            result["goodput"],
            "of capacity",
            GOODPUT_BOUND,
            baseline["goodput"],
            at_least=True,
        ),
        Measure(
            "overload.goodput_after_kill",
            result["late"],
            "of capacity left",
            GOODPUT_BOUND,
            at_least=True,
        ),
        Measure(
            "overload.refusal_p99",
            result["refusal"],
            "ms",
            REFUSAL_BOUND_MS,
            baseline["refusal"],
        ),
        Measure("overload.false_not_run", result["false"], "requests", 0),
    ]


async def _falsify_load_reports(cluster):
    """Make a third of the targets report 0 in-flight requests, the others late."""
    targets = get_targets(cluster, SERVICE)
    for index, address in enumerate(targets.values()):
        fault = {"lie": 0} if index % 3 == 0 else {"report_lag": 5.0}
        await post_json(address, "/admin/fault", fault)


async def _kill_instance(cluster):
    await anyio.sleep(KILL_AFTER)
    cluster.kill(KILLED_INSTANCE)


async def _summarize(cluster, samples, began):
    """Return the figures of a run.

    :param began: start of the run, wall clock time in seconds.
    :returns: ``most``: most requests in flight at a target; ``goodput``: share of
        the capacity used by completed requests before the kill; ``late``: the
        same for the remaining targets after recovery; ``refusal``: p99 latency
        of rejections in ms; ``false``: requests reported not_run that ran.
    """
    spans = [s for s in await get_spans(cluster, SERVICE) if s.began >= began]
    by_target = {}
    for span in spans:
        by_target.setdefault(span.target, []).append(span)
    targets_without_entry = set(
        get_targets(cluster, SERVICE)
    ) - _get_targets_with_entry(cluster)
    executed_paths = {span.path for span in spans}
    rejected = [sample for sample in samples if sample.end == "not_run"]
    measured_from, killed_at = began + WARM_UP, began + KILL_AFTER
    recovered_at = killed_at + RECOVERY
    remaining_capacity = (
        CAPACITY * (TARGET_COUNT - len(targets_without_entry)) / TARGET_COUNT
    )
    return {
        "most": max(
            get_max_concurrency(target_spans) for target_spans in by_target.values()
        ),
        "goodput": _count_finished(spans, measured_from, killed_at)
        / (CAPACITY * (killed_at - measured_from)),
        "late": _count_finished(
            [span for span in spans if span.target not in targets_without_entry],
            recovered_at,
            began + DURATION,
        )
        / (remaining_capacity * (began + DURATION - recovered_at)),
        "refusal": get_quantile_ms(rejected, 0.99),
        "false": sum(sample.path in executed_paths for sample in rejected),
    }


def _get_targets_with_entry(cluster):
    """Return the targets in failure domains other than the killed instance's."""
    return {
        name
        for region in ("gulf", "piedmont", "delta")
        for name in get_targets(cluster, SERVICE, region)
        if name not in ("lensreader-04", "lensreader-10", "lensreader-16")
    }


def _count_finished(spans, start, end):
    return sum(span.finished and start <= span.ended < end for span in spans)


async def _count_shed_requests(cluster):
    total = 0
    for address in get_targets(cluster, SERVICE).values():
        journal = await get_json(address, "/admin/journal")
        total += journal["refused"].get("full", 0)
    return total
