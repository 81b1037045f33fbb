"""Look-ups in a closed loop over plain sockets, in processes of their own."""

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
    """What one generating process does.

    :param connections: look-ups that are on their way at once.
    """

    host: str
    port: int
    service: str
    connections: int
    seconds: float
    seed: int


async def generate_lookups(plan):
    """Run a plan and return the seconds that each look-up took."""
    times = []
    rng = random.Random(plan.seed)
    async with anyio.create_task_group() as tasks:
        for _ in range(plan.connections):
            tasks.start_soon(_loop, plan, rng, times)
    return times


async def run_lookups(plans):
    """Run each plan in a process; return all times in seconds."""
    times = []
    async with anyio.create_task_group() as tasks:
        for plan in plans:
            tasks.start_soon(_run_one, plan, times)
    return times


async def _run_one(plan, times):
    process = await anyio.run_process(
        [sys.executable, "-m", "bench", "generate-lookups"],
        input=msgspec.json.encode(plan),
        cwd=ROOT,
    )
    times += msgspec.json.decode(process.stdout, type=list[float])


async def _loop(plan, rng, times):
    end = time.perf_counter() + plan.seconds
    async with await anyio.connect_tcp(plan.host, plan.port) as stream:
        while time.perf_counter() < end:
            client = ".".join(str(rng.randrange(256)) for _ in range(4))
            head = f"GET /lookup?service={plan.service}&client={client} HTTP/1.1"
            began = time.perf_counter()
            await stream.send(f"{head}\r\nHost: {plan.host}\r\n\r\n".encode())
            await _read_answer(stream)
            times.append(time.perf_counter() - began)


async def _read_answer(stream):
    data = b""
    while _END_OF_HEAD not in data:
        data += await stream.receive()
    head, _, body = data.partition(_END_OF_HEAD)
    if not head.startswith(b"HTTP/1.1 200"):
        raise ValueError(head)
    length = int(head.partition(_LENGTH)[2].partition(b"\r\n")[0])
    while len(body) < length:
        body += await stream.receive()
