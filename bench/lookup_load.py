"""Closed-loop look-up load over plain sockets, in separate processes."""

import random
import sys
import time

import anyio
import msgspec

from .cluster import ROOT

__all__ = ["LookupPlan", "generate_lookups", "run_lookups"]

_END_OF_HEAD = b"\r\n\r\n"
_LENGTH = b"content-length: "


class LookupPlan(msgspec.Struct, frozen=True):
    """What one generator process does.

    :param connections: connections, each with one look-up in flight.
    """

    host: str
    port: int
    service: str
    connections: int
    seconds: float
    seed: int


async def generate_lookups(plan):
    """Run a plan in this process and return the look-up latencies in seconds."""
    times = []
    rng = random.Random(plan.seed)
    async with anyio.create_task_group() as tasks:
        for _ in range(plan.connections):
            tasks.start_soon(_send_lookups, plan, rng, times)
    return times


async def run_lookups(plans):
    """Run each plan in a process of its own and return all latencies."""
    times = []
    async with anyio.create_task_group() as tasks:
        for plan in plans:
            tasks.start_soon(_run_process, plan, times)
    return times


async def _run_process(plan, times):
    process = await anyio.run_process(
        [sys.executable, "-m", "bench", "generate-lookups"],
        input=msgspec.json.encode(plan),
        cwd=ROOT,
    )
    times += msgspec.json.decode(process.stdout, type=list[float])


async def _send_lookups(plan, rng, times):
    end = time.perf_counter() + plan.seconds
    async with await anyio.connect_tcp(plan.host, plan.port) as stream:
        while time.perf_counter() < end:
            client = ".".join(str(rng.randrange(256)) for _ in range(4))
            head = f"GET /lookup?service={plan.service}&client={client} HTTP/1.1"
            began = time.perf_counter()
            await stream.send(f"{head}\r\nHost: {plan.host}\r\n\r\n".encode())
            await _read_response(stream)
            times.append(time.perf_counter() - began)


async def _read_response(stream):
    data = b""
    while _END_OF_HEAD not in data:
        data += await stream.receive()
    head, _, body = data.partition(_END_OF_HEAD)
    if not head.startswith(b"HTTP/1.1 200"):
        raise ValueError(head)
    length = int(head.partition(_LENGTH)[2].partition(b"\r\n")[0])
    while len(body) < length:
        body += await stream.receive()
