"""Look-ups over 150,000 blocks, and what the path adds to a direct call."""

import random
import time
from pathlib import Path

import anyio

from turmericrudder.caller import Caller
from turmericrudder.forwarding import ConnectionPool, Response
from turmericrudder.units import MS_PER_SECOND

from ..cluster import Cluster
from ..lookup_load import LookupPlan, run_lookups
from ..measure import Measure
from ..process import get_cpu
from ..sample import Sample, get_quantile_ms
from ..variant import make_variant
from .common import SETTLE

BLOCKS = 150_000
LOOKUPS_TARGET = 760.0  # a second and node
LOOKUP_AIM = 10 * LOOKUPS_TARGET
LOOKUP_P99_BOUND_MS = 5.0
GENERATORS = 3
CONNECTIONS = 4
SECONDS = 6.0
READS = 400
ENTRY = "gulf-b-1"


async def run(seed):
    """Return the measures."""
    root = make_variant("clearsight", times={"lensreader": {"prescriptions": "20ms"}})
    _write_blocks(root / "clearsight" / "blocks.ini", seed)
    async with Cluster("clearsight", examples=root) as cluster:
        await anyio.sleep(SETTLE)
        measures = await _measure_lookups(cluster, seed, 1, "light")
        measures += await _measure_lookups(cluster, seed, GENERATORS, "full")
        measures += await _measure_path(cluster)
    return measures


def _write_blocks(path, seed):
    rng = random.Random(seed)
    starts = rng.sample(range(1 << 24), BLOCKS)
    places = ("gulf", "piedmont", "delta")
    lines = [f"{_format(start)}/24 = {rng.choice(places)}" for start in starts]
    Path(path).write_text(path.read_text() + "\n".join(lines) + "\n")


def _format(start):
    return ".".join(str(start >> shift & 255) for shift in (16, 8, 0)) + ".0"


async def _measure_lookups(cluster, seed, processes, name):
    address = cluster.entries[ENTRY].listen_callers
    connections = CONNECTIONS if processes > 1 else 1
    plans = [
        LookupPlan(
            address.host, address.port, "lensreader", connections, SECONDS, seed + n
        )
        for n in range(processes)
    ]
    before = get_cpu(cluster.get_pid(ENTRY))
    times = await run_lookups(plans)
    cpu = get_cpu(cluster.get_pid(ENTRY)) - before
    samples = [Sample("lookup", "answered", 0.0, seconds) for seconds in times]
    rate = len(times) / SECONDS
    bound = LOOKUPS_TARGET if processes > 1 else None
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
            LOOKUP_AIM if processes > 1 else None,
            at_least=True,
        ),
    ]


async def _measure_path(cluster):
    caller = Caller([str(cluster.entries[ENTRY].listen_callers)], "127.11.0.9")
    address = cluster.get_upstreams()["lensreader-02"]
    connection_pool = ConnectionPool()
    direct = [await _time(_read_direct, connection_pool, address) for _ in range(READS)]
    before = _get_cpu_of_all(cluster)
    via = [await _time(_read, caller) for _ in range(READS)]
    cpu = _get_cpu_of_all(cluster) - before
    await caller.aclose()
    await connection_pool.aclose()
    added = [
        get_quantile_ms(via, quantile) - get_quantile_ms(direct, quantile)
        for quantile in (0.5, 0.99)
    ]
    return [
        Measure("speed.path_adds_p50", added[0], "ms"),
        Measure("speed.path_adds_p99", added[1], "ms"),
        Measure("speed.path_cpu_with_idle", cpu / READS * MS_PER_SECOND, "ms"),
    ]


async def _read_direct(connection_pool, address):
    response, link = await connection_pool.send_request(
        address, "GET", b"/prescriptions/1", [], None, (5.0, 5.0)
    )
    assert isinstance(response, Response)
    async for _ in response.iter_chunks():
        continue
    await response.aclose()
    await connection_pool.release(address, link)


async def _read(caller):
    await caller.request("GET", "lensreader", "/prescriptions/1")


async def _time(read, *arguments):
    began = time.perf_counter()
    await read(*arguments)
    return Sample("read", "answered", 0.0, time.perf_counter() - began)


def _get_cpu_of_all(cluster):
    return sum(get_cpu(cluster.get_pid(name)) for name in cluster.entries)
