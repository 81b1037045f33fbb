"""Experiment: short requests next to long downloads that exceed their slot limit."""

import time

import anyio

from ..load import Load
from ..measure import Measure
from ..sample import get_quantile_ms
from ..scenario import SCENARIOS
from ..spans import get_max_concurrency, get_spans
from .common import make_balancer, offer_load, start_cluster

SERVICE = "binvault"
DURATION = 10.0  # seconds
RATES = {"gulf": 20.0, "piedmont": 20.0, "delta": 16.0}
PULLERS_PER_REGION = 30  # closed loops, more than a region's slots for long requests
LONG_SLOTS = 3  # slots of a target that long requests may hold
TARGET_COUNT = 14
PULL_BYTES = 20_000
LATENCY_BOUND = 1.2  # ratio of p99 latencies
ALLOWANCE_BOUND = 0.95  # share of the slots for long requests in use


async def run(seed):
    """Return the measures."""
    async with start_cluster() as cluster:
        views_alone = await offer_load(cluster, RATES, DURATION, seed, "view")
        views, allowance_share, max_long_slots = await _run_with_pulls(
            cluster, seed, ""
        )
        await anyio.sleep(4.0)
        round_robin_views, _, _ = await _run_with_pulls(cluster, seed, "round_robin")
    alone_p99 = get_quantile_ms(views_alone, 0.99)
    not_answered = sum(sample.end != "answered" for sample in views)
    return [
        Measure("head_of_line.view_p99_alone", alone_p99, "ms"),
        Measure(
            "head_of_line.view_p99_ratio",
            get_quantile_ms(views, 0.99) / alone_p99,
            "times",
            LATENCY_BOUND,
            get_quantile_ms(round_robin_views, 0.99) / alone_p99,
        ),
        Measure("head_of_line.views_not_answered", not_answered, "requests", 0),
        Measure("head_of_line.most_long", max_long_slots, "slots", LONG_SLOTS),
        Measure(
            "head_of_line.long_allowance_used",
            allowance_share,
            "of allowance",
            ALLOWANCE_BOUND,
            at_least=True,
        ),
    ]


async def _run_with_pulls(cluster, seed, policy):
    """Offer short requests while long downloads run.

    :param policy: baseline policy, or "" to send to the entry instances.
    :returns: (samples of the short requests, mean share of the slots for long
        requests in use, most slots of a target that downloads held at once).
    """
    scenario = SCENARIOS["clearsight"]
    entries = [str(entry.listen_callers) for entry in cluster.entries.values()]
    load = Load(scenario, entries, seed)
    if policy:
        load.callers = {
            region: [make_balancer(cluster, policy, SERVICE, region, seed)]
            for region in scenario.clients
        }
    async with anyio.create_task_group() as tasks:
        for region in scenario.clients:
            for _ in range(PULLERS_PER_REGION):
                tasks.start_soon(
                    load.run_closed_loop, load.pull_once, region, PULL_BYTES
                )
        await anyio.sleep(4.0)
        start_time = time.time()
        views = await offer_load(cluster, RATES, DURATION, seed, "view", policy)
        end_time = time.time()
        load.stop()
        tasks.cancel_scope.cancel()
    await load.aclose()
    spans = [
        span
        for span in await get_spans(cluster, SERVICE)
        if "/inventory/" in span.path and (span.ended or end_time) > start_time
    ]
    slot_seconds = sum(
        min(span.ended or end_time, end_time) - max(span.began, start_time)
        for span in spans
    )
    max_slots = 0
    for target in {span.target for span in spans}:
        max_slots = max(
            max_slots, get_max_concurrency([s for s in spans if s.target == target])
        )
    return (
        views,
        slot_seconds / (LONG_SLOTS * TARGET_COUNT * (end_time - start_time)),
        max_slots,
    )
