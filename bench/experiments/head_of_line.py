"""Short work beside overnight pulls that ask for more than their allowance."""

import time

import anyio

from ..load import Load
from ..measure import Measure
from ..sample import get_quantile_ms
from ..scenario import SCENARIOS
from ..spans import get_most, get_spans
from .common import make_balancer, offer, start

SERVICE = "binvault"
SECONDS = 10.0
RATES = {"gulf": 20.0, "piedmont": 20.0, "delta": 16.0}
PULLERS = 30  # in each region, more than the slots for long work
LONG_SLOTS = 3
TARGETS = 14
PULL_BYTES = 20_000
LATENCY_BOUND = 1.2
ALLOWANCE_BOUND = 0.95


async def run(seed):
    """Return the measures."""
    async with start() as cluster:
        alone = await offer(cluster, RATES, SECONDS, seed, "view")
        ours, pulls, held = await _run_with_pulls(cluster, seed, "")
        await anyio.sleep(4.0)
        robin, _, _ = await _run_with_pulls(cluster, seed, "round_robin")
    quiet = get_quantile_ms(alone, 0.99)
    refused = sum(sample.end != "answered" for sample in ours)
    return [
        Measure("head_of_line.view_p99_alone", quiet, "ms"),
        Measure(
            "head_of_line.view_p99_ratio",
            get_quantile_ms(ours, 0.99) / quiet,
            "times",
            LATENCY_BOUND,
            get_quantile_ms(robin, 0.99) / quiet,
        ),
        Measure("head_of_line.views_not_answered", refused, "requests", 0),
        Measure("head_of_line.most_long", held, "slots", LONG_SLOTS),
        Measure(
            "head_of_line.long_allowance_used",
            pulls,
            "of allowance",
            ALLOWANCE_BOUND,
            at_least=True,
        ),
    ]


async def _run_with_pulls(cluster, seed, policy):
    """Return (views, share of the allowance pulls used, most on a target)."""
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
            for _ in range(PULLERS):
                tasks.start_soon(load.loop, load.pull_once, region, PULL_BYTES)
        await anyio.sleep(4.0)
        began = time.time()
        views = await offer(cluster, RATES, SECONDS, seed, "view", policy)
        ended = time.time()
        load.stop()
        tasks.cancel_scope.cancel()
    await load.aclose()
    spans = [
        span
        for span in await get_spans(cluster, SERVICE)
        if "/inventory/" in span.path and (span.ended or ended) > began
    ]
    used = sum(
        min(span.ended or ended, ended) - max(span.began, began) for span in spans
    )
    most = 0
    for target in {span.target for span in spans}:
        most = max(most, get_most([s for s in spans if s.target == target]))
    return views, used / (LONG_SLOTS * TARGETS * (ended - began)), most
