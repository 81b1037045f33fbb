"""Three times the capacity, with lying reports and an owner killed."""

import time

import anyio

from ..cluster import get_json, post_json
from ..measure import Measure
from ..sample import get_quantile_ms
from ..spans import get_most, get_spans
from .common import get_targets, offer, start

SERVICE = "lensreader"
SERVICE_TIME = 0.4  # seconds
SLOTS = 5
TARGETS = 16
CAPACITY = SLOTS * TARGETS / SERVICE_TIME  # requests a second
OFFERED = 3 * CAPACITY
SECONDS = 12.0
WARM_UP = 2.0  # seconds not counted
KILL_AFTER = 6.0  # seconds
KILLED = "piedmont-b-1"
RECOVERY = 3.0  # seconds from the kill until the loss is counted as settled
REFUSAL_BOUND_MS = 50.0
GOODPUT_BOUND = 0.95


async def run(seed):
    """Return the measures."""
    async with start(times={SERVICE: {"prescriptions": "400ms"}}) as cluster:
        await _spoil_reports(cluster)
        rates = dict.fromkeys(("gulf", "piedmont", "delta"), OFFERED / 3)
        began = time.time()
        before = await offer(
            cluster, rates, SECONDS, seed, policy="round_robin", timeout=3.0
        )
        baseline = await _describe(cluster, before, began)
        await anyio.sleep(1.0)
        sheds = await _count_sheds(cluster)
        began = time.time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_kill, cluster)
            samples = await offer(cluster, rates, SECONDS, seed, timeout=3.0)
        ours = await _describe(cluster, samples, began)
        sheds_after = await _count_sheds(cluster)
    return [
        Measure("overload.most_held", ours["most"], "slots", SLOTS, baseline["most"]),
        Measure("overload.sheds", sheds_after - sheds, "requests", None, sheds),
        Measure(
            "overload.goodput",
            ours["goodput"],
            "of capacity",
            GOODPUT_BOUND,
            baseline["goodput"],
            at_least=True,
        ),
        Measure(
            "overload.goodput_after_kill",
            ours["late"],
            "of capacity left",
            GOODPUT_BOUND,
            at_least=True,
        ),
        Measure(
            "overload.refusal_p99",
            ours["refusal"],
            "ms",
            REFUSAL_BOUND_MS,
            baseline["refusal"],
        ),
        Measure("overload.false_not_run", ours["false"], "requests", 0),
    ]


async def _spoil_reports(cluster):
    """Let a third of the reports lie and the others come late."""
    targets = get_targets(cluster, SERVICE)
    for index, address in enumerate(targets.values()):
        fault = {"lie": 0} if index % 3 == 0 else {"report_lag": 5.0}
        await post_json(address, "/admin/fault", fault)


async def _kill(cluster):
    await anyio.sleep(KILL_AFTER)
    cluster.kill(KILLED)


async def _describe(cluster, samples, began):
    spans = [s for s in await get_spans(cluster, SERVICE) if s.began >= began]
    by_target = {}
    for span in spans:
        by_target.setdefault(span.target, []).append(span)
    lost = set(get_targets(cluster, SERVICE)) - _get_kept(cluster)
    ran = {span.path for span in spans}
    refused = [sample for sample in samples if sample.end == "not_run"]
    start_, kill = began + WARM_UP, began + KILL_AFTER
    late = kill + RECOVERY
    left = CAPACITY * (TARGETS - len(lost)) / TARGETS
    return {
        "most": max(get_most(found) for found in by_target.values()),
        "goodput": _count(spans, start_, kill) / (CAPACITY * (kill - start_)),
        "late": _count(
            [span for span in spans if span.target not in lost],
            late,
            began + SECONDS,
        )
        / (left * (began + SECONDS - late)),
        "refusal": get_quantile_ms(refused, 0.99),
        "false": sum(sample.path in ran for sample in refused),
    }


def _get_kept(cluster):
    """Return the targets whose domain still has its entry instance."""
    return {
        name
        for region in ("gulf", "piedmont", "delta")
        for name in get_targets(cluster, SERVICE, region)
        if name not in ("lensreader-04", "lensreader-10", "lensreader-16")
    }


def _count(spans, begin, end):
    return sum(span.finished and begin <= span.ended < end for span in spans)


async def _count_sheds(cluster):
    total = 0
    for address in get_targets(cluster, SERVICE).values():
        journal = await get_json(address, "/admin/journal")
        total += journal["refused"].get("full", 0)
    return total
