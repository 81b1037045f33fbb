"""Answers that are cut, lost, or swallowed by a silent connection."""

import random

import anyio

from ..cluster import post_json
from ..measure import Measure
from ..sample import count_ends, get_quantile_ms
from .common import get_targets, offer, start

SERVICE = "lensreader"
RATES = {"gulf": 40.0, "piedmont": 40.0, "delta": 30.0}
SECONDS = 15.0
FAULT_PERIOD = 0.5  # seconds
DEADLINE_MS = 3000.0
FAULTS = ({"truncate": 1}, {"lose_answers": 1}, {"silent": True})


async def run(seed):
    """Return the measures."""
    async with start() as cluster:
        ours = await _run_with_faults(cluster, seed, "")
        robin = await _run_with_faults(cluster, seed, "round_robin")
    ends, baseline = count_ends(ours), count_ends(robin)
    return [
        Measure(
            "whole_answers.wrong",
            ends.get("wrong", 0),
            "requests",
            0,
            baseline.get("wrong", 0),
        ),
        Measure(
            "whole_answers.not_answered",
            len(ours) - ends.get("answered", 0),
            "requests",
            0,
            len(robin) - baseline.get("answered", 0),
        ),
        Measure(
            "whole_answers.slowest",
            get_quantile_ms(ours, 1.0),
            "ms",
            DEADLINE_MS,
            get_quantile_ms(robin, 1.0),
        ),
    ]


async def _run_with_faults(cluster, seed, policy):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_spoil, cluster, random.Random(seed))
        samples = await offer(cluster, RATES, SECONDS, seed, policy=policy)
        tasks.cancel_scope.cancel()
    for address in get_targets(cluster, SERVICE).values():
        await post_json(address, "/admin/fault", {})
    return samples


async def _spoil(cluster, rng):
    addresses = list(get_targets(cluster, SERVICE).values())
    while True:
        fault = rng.choice(FAULTS)
        await post_json(rng.choice(addresses), "/admin/fault", fault)
        await anyio.sleep(FAULT_PERIOD)
