"""Experiment: truncated and lost responses, and connections that stop responding."""

import random

import anyio

from ..cluster import post_json
from ..measure import Measure
from ..sample import count_ends, get_quantile_ms
from .common import get_targets, offer_load, start_cluster

SERVICE = "lensreader"
RATES = {"gulf": 40.0, "piedmont": 40.0, "delta": 30.0}
DURATION = 15.0  # seconds
FAULT_INTERVAL = 0.5  # seconds between faults
DEADLINE_MS = 3000.0
FAULTS = ({"truncate": 1}, {"lose_answers": 1}, {"silent": True})


async def run(seed):
    """Return the measures."""
    async with start_cluster() as cluster:
        samples = await _run_with_faults(cluster, seed, "")
        round_robin_samples = await _run_with_faults(cluster, seed, "round_robin")
    ends, baseline = count_ends(samples), count_ends(round_robin_samples)
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
            len(samples) - ends.get("answered", 0),
            "requests",
            0,
            len(round_robin_samples) - baseline.get("answered", 0),
        ),
        Measure(
            "whole_answers.slowest",
            get_quantile_ms(samples, 1.0),
            "ms",
            DEADLINE_MS,
            get_quantile_ms(round_robin_samples, 1.0),
        ),
    ]


async def _run_with_faults(cluster, seed, policy):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_inject_faults, cluster, random.Random(seed))
        samples = await offer_load(cluster, RATES, DURATION, seed, policy=policy)
        tasks.cancel_scope.cancel()
    for address in get_targets(cluster, SERVICE).values():
        await post_json(address, "/admin/fault", {})
    return samples


async def _inject_faults(cluster, rng):
    addresses = list(get_targets(cluster, SERVICE).values())
    while True:
        fault = rng.choice(FAULTS)
        await post_json(rng.choice(addresses), "/admin/fault", fault)
        await anyio.sleep(FAULT_INTERVAL)
