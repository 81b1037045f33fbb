"""A fifth of the targets slowed tenfold for seconds at a time."""

import random

import anyio

from ..cluster import post_json
from ..measure import Measure
from ..sample import count_ends, get_quantile_ms
from ..spans import get_spans
from .common import get_targets, offer, start

SERVICE = "lensreader"
SECONDS = 12.0
RATES = {"gulf": 45.0, "piedmont": 45.0, "delta": 30.0}
SLOW_FACTOR = 10.0
SLOW_SHARE = 5  # one in this many
SLOW_SECONDS = 3.0
REPORT_LAG = 5.0  # seconds
P99_BOUND = 1.5
ROBIN_BOUND = 1 / 3
EXTRA_BOUND = 0.05


async def run(seed):
    """Return the measures."""
    async with start(times={SERVICE: {"prescriptions": "50ms"}}) as cluster:
        quiet = await offer(cluster, RATES, SECONDS, seed)
        before = await _count_runs(cluster)
        ours = await _run_slowed(cluster, seed, "")
        runs = await _count_runs(cluster) - before
        robin = await _run_slowed(cluster, seed, "round_robin")
        two = await _run_slowed(cluster, seed, "least_of_two")
        before = await _count_runs(cluster)
        all_slow = await _run_all_slow(cluster, seed)
        storm = await _count_runs(cluster) - before
    base = get_quantile_ms(quiet, 0.99)
    p99 = get_quantile_ms(ours, 0.99)
    robin_p99 = get_quantile_ms(robin, 0.99)
    return [
        Measure("slowed.read_p99_quiet", base, "ms"),
        Measure("slowed.read_p99", p99, "ms", None, get_quantile_ms(two, 0.99)),
        Measure(
            "slowed.read_p99_ratio", p99 / base, "times", P99_BOUND, robin_p99 / base
        ),
        Measure(
            "slowed.p99_of_round_robin", p99 / robin_p99, "times", ROBIN_BOUND, 1.0
        ),
        Measure("slowed.extra_work", runs / len(ours) - 1, "of requests", EXTRA_BOUND),
        Measure(
            "slowed.not_answered",
            len(ours) - count_ends(ours).get("answered", 0),
            "requests",
            0,
        ),
        Measure(
            "slowed.extra_work_all_slow",
            storm / len(all_slow) - 1,
            "of requests",
            EXTRA_BOUND,
        ),
    ]


async def _run_slowed(cluster, seed, policy):
    rng = random.Random(seed)
    addresses = list(get_targets(cluster, SERVICE).values())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_slow_in_turns, addresses, rng)
        samples = await offer(cluster, RATES, SECONDS, seed, policy=policy)
        tasks.cancel_scope.cancel()
    await _set_slow(addresses, 1.0)
    return samples


async def _run_all_slow(cluster, seed):
    addresses = list(get_targets(cluster, SERVICE).values())
    await _set_slow(addresses, 4.0)
    samples = await offer(cluster, RATES, SECONDS / 2, seed)
    await _set_slow(addresses, 1.0)
    return samples


async def _slow_in_turns(addresses, rng):
    while True:
        slowed = rng.sample(addresses, len(addresses) // SLOW_SHARE)
        await _set_slow(slowed, SLOW_FACTOR)
        await anyio.sleep(SLOW_SECONDS)
        await _set_slow(slowed, 1.0)
        await anyio.sleep(SLOW_SECONDS / 3)


async def _set_slow(addresses, factor):
    for address in addresses:
        fault = {"slow": factor, "report_lag": REPORT_LAG}
        await post_json(address, "/admin/fault", fault)


async def _count_runs(cluster):
    return len(await get_spans(cluster, SERVICE))
