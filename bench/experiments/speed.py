"""Experiment: speed of look-ups with 150,000 address blocks, and added latency.

The added latency of a request through an entry instance is the difference to
the same request sent directly to the target.
"""

import random
import time
from pathlib import Path

import anyio

from turmericrudder.caller import Caller
from turmericrudder.forwarding import ConnectionPool, Response
from turmericrudder.units import MS_PER_SECOND

from ..cluster import Cluster
from ..deployment_copy import make_deployment_copy
from ..lookup_load import LookupPlan, run_lookups
from ..measure import Measure
from ..process import get_cpu_seconds
from ..sample import Sample, get_quantile_ms
from .common import SETTLE_TIME

BLOCK_COUNT = 150_000  # address blocks
LOOKUP_RATE_BOUND = 760.0  # look-ups per second and instance
LOOKUPS_PER_CORE_BOUND = 10 * LOOKUP_RATE_BOUND
LOOKUP_P99_BOUND_MS = 5.0
GENERATOR_PROCESSES = 3
CONNECTIONS = 4  # per generator process
DURATION = 6.0  # seconds
READ_COUNT = 400  # reads per path
ENTRY = "gulf-b-1"


async def run(seed):
    """Return the measures."""
    root = make_deployment_copy(
        "clearsight", times={"lensreader": {"prescriptions": "20ms"}}
    )
    _write_blocks(root / "clearsight" / "blocks.ini", seed)
    async with Cluster("clearsight", examples=root) as cluster:
        await anyio.sleep(SETTLE_TIME)
        measures = await _measure_lookups(cluster, seed, 1, "light")
        measures += await _measure_lookups(cluster, seed, GENERATOR_PROCESSES, "full")
        measures += await _measure_added_latency(cluster)
    return measures


def _write_blocks(path, seed):
    rng = random.Random(seed)
    starts = rng.sample(range(1 << 24), BLOCK_COUNT)
    regions = ("gulf", "piedmont", "delta")
    lines = [
        f"{_format_block_address(start)}/24 = {rng.choice(regions)}" for start in starts
    ]
    Path(path).write_text(path.read_text() + "\n".join(lines) + "\n")


def _format_block_address(start):
    return ".".join(str(start >> shift & 255) for shift in (16, 8, 0)) + ".0"


async def _measure_lookups(cluster, seed, processes, name):
    """Measure look-ups at one entry instance.

    :param processes: generator processes; one has a single connection.
    :param name: suffix of the names of the measures.
    """
    address = cluster.entries[ENTRY].listen_callers
    connections = CONNECTIONS if processes > 1 else 1
    plans = [
        LookupPlan(
            address.host, address.port, "lensreader", connections, DURATION, seed + n
        )
        for n in range(processes)
    ]
    before = get_cpu_seconds(cluster.get_pid(ENTRY))
    times = await run_lookups(plans)
    cpu = get_cpu_seconds(cluster.get_pid(ENTRY)) - before
    samples = [Sample("lookup", "answered", 0.0, seconds) for seconds in times]
    rate = len(times) / DURATION
    bound = LOOKUP_RATE_BOUND if processes > 1 else None
    return [
        Measure(f"speed.lookups_{name}", rate, "1/s", bound, at_least=True),
        Measure(
            f"speed.lookup_p99_{name}",
            get_quantile_ms(samples, 0.99),
            "ms",
            LOOKUP_P99_BOUND_MS,
        ),
        Measure(f"speed.lookup_cpu_{name}", cpu / len(times) * MS_PER_SECOND, "ms"),
        Measure(
            f"speed.lookups_per_core_{name}",
            len(times) / cpu,
            "1/s",
            LOOKUPS_PER_CORE_BOUND if processes > 1 else None,
            at_least=True,
        ),
    ]


async def _measure_added_latency(cluster):
    caller = Caller([str(cluster.entries[ENTRY].listen_callers)], "127.11.0.9")
    address = cluster.get_upstreams()["lensreader-02"]
    connection_pool = ConnectionPool()
    direct = [
        await _measure_read(_read_direct, connection_pool, address)
        for _ in range(READ_COUNT)
    ]
    before = _get_total_cpu_seconds(cluster)
    through_entry = [
        await _measure_read(_read_through_entry, caller) for _ in range(READ_COUNT)
    ]
    cpu = _get_total_cpu_seconds(cluster) - before
    await caller.aclose()
    await connection_pool.aclose()
    added_latency_ms = [
        get_quantile_ms(through_entry, quantile) - get_quantile_ms(direct, quantile)
        for quantile in (0.5, 0.99)
    ]
    return [
        Measure("speed.path_adds_p50", added_latency_ms[0], "ms"),
        Measure("speed.path_adds_p99", added_latency_ms[1], "ms"),
        Measure("speed.path_cpu_with_idle", cpu / READ_COUNT * MS_PER_SECOND, "ms"),
    ]


async def _read_direct(connection_pool, address):
    response, connection = await connection_pool.send_request(
        address, "GET", b"/prescriptions/1", [], None, (5.0, 5.0)
    )
    assert isinstance(response, Response)
    async for _ in response.iter_chunks():
        continue
    await response.aclose()
    await connection_pool.release(address, connection)


async def _read_through_entry(caller):
    await caller.request("GET", "lensreader", "/prescriptions/1")


async def _measure_read(read, *arguments):
    began = time.perf_counter()
    await read(*arguments)
    return Sample("read", "answered", 0.0, time.perf_counter() - began)


def _get_total_cpu_seconds(cluster):
    return sum(get_cpu_seconds(cluster.get_pid(name)) for name in cluster.entries)
