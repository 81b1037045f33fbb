"""Experiment: a random fifth of the targets is slowed down tenfold repeatedly."""

import random

import anyio

from ..cluster import post_json
from ..measure import Measure
from ..sample import count_ends, get_quantile_ms
from ..spans import get_spans
from .common import get_targets, offer_load, start_cluster

SERVICE = "lensreader"
DURATION = 12.0  # seconds
RATES = {"gulf": 45.0, "piedmont": 45.0, "delta": 30.0}
SLOWDOWN = 10.0  # factor on service times
SLOWED_ONE_IN = 5  # one target in this many is slowed down
SLOWED_TIME = 3.0  # seconds
REPORT_LAG = 5.0  # seconds by which load reports are late
P99_RATIO_BOUND = 1.5  # p99 latency to that without slow targets
ROUND_ROBIN_RATIO_BOUND = 1 / 3  # p99 latency to that of round robin
EXTRA_RUNS_BOUND = 0.05  # hedges and retries per request


async def run(seed):
    """Return the measures."""
    async with start_cluster(times={SERVICE: {"prescriptions": "50ms"}}) as cluster:
        undisturbed = await offer_load(cluster, RATES, DURATION, seed)
        runs_before = await _count_runs(cluster)
        slowed_samples = await _run_slowed(cluster, seed, "")
        run_count = await _count_runs(cluster) - runs_before
        round_robin = await _run_slowed(cluster, seed, "round_robin")
        least_of_two = await _run_slowed(cluster, seed, "least_of_two")
        runs_before = await _count_runs(cluster)
        all_slow = await _run_all_slow(cluster, seed)
        all_slow_runs = await _count_runs(cluster) - runs_before
    undisturbed_p99 = get_quantile_ms(undisturbed, 0.99)
    p99 = get_quantile_ms(slowed_samples, 0.99)
    round_robin_p99 = get_quantile_ms(round_robin, 0.99)
    return [
        Measure("slowed.read_p99_quiet", undisturbed_p99, "ms"),
        Measure(
            "slowed.read_p99", p99, "ms", None, get_quantile_ms(least_of_two, 0.99)
        ),
        Measure(
            "slowed.read_p99_ratio",
            p99 / undisturbed_p99,
            "times",
            P99_RATIO_BOUND,
            round_robin_p99 / undisturbed_p99,
        ),
        Measure(
            "slowed.p99_of_round_robin",
            p99 / round_robin_p99,
            "times",
            ROUND_ROBIN_RATIO_BOUND,
            1.0,
        ),
        Measure(
            "slowed.extra_work",
            run_count / len(slowed_samples) - 1,
            "of requests",
            EXTRA_RUNS_BOUND,
        ),
        Measure(
            "slowed.not_answered",
            len(slowed_samples) - count_ends(slowed_samples).get("answered", 0),
            "requests",
            0,
        ),
        Measure(
            "slowed.extra_work_all_slow",
            all_slow_runs / len(all_slow) - 1,
            "of requests",
            EXTRA_RUNS_BOUND,
        ),
    ]


async def _run_slowed(cluster, seed, policy):
    rng = random.Random(seed)
    addresses = list(get_targets(cluster, SERVICE).values())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_slow_random_targets, addresses, rng)
        samples = await offer_load(cluster, RATES, DURATION, seed, policy=policy)
        tasks.cancel_scope.cancel()
    await _set_slowdown(addresses, 1.0)
    return samples


async def _run_all_slow(cluster, seed):
    addresses = list(get_targets(cluster, SERVICE).values())
    await _set_slowdown(addresses, 4.0)
    samples = await offer_load(cluster, RATES, DURATION / 2, seed)
    await _set_slowdown(addresses, 1.0)
    return samples


async def _slow_random_targets(addresses, rng):
    while True:
        slowed = rng.sample(addresses, len(addresses) // SLOWED_ONE_IN)
        await _set_slowdown(slowed, SLOWDOWN)
        await anyio.sleep(SLOWED_TIME)
        await _set_slowdown(slowed, 1.0)
        await anyio.sleep(SLOWED_TIME / 3)


async def _set_slowdown(addresses, factor):
    for address in addresses:
        fault = {"slow": factor, "report_lag": REPORT_LAG}
        await post_json(address, "/admin/fault", fault)


async def _count_runs(cluster):
    return len(await get_spans(cluster, SERVICE))
