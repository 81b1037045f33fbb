"""Open-loop load generators, each in a separate process.

That keeps a generator under load from delaying the requests of another.
"""

import subprocess
import sys

import anyio
import msgspec

from .baseline import Balancer
from .cluster import ROOT
from .load import Load
from .sample import Sample
from .scenario import SCENARIOS

__all__ = ["Plan", "generate", "run_generators"]


class Plan(msgspec.Struct, frozen=True):
    """What one generator process does.

    :param kind: ``read`` or ``view``, as in :class:`Load`.
    :param rate: requests per second of this region's clients.
    :param entries: addresses of entry instances, or of targets if ``policy``
        is given.
    :param tries: attempts per request at most, 0 for no limit.
    :param timeout: seconds until a request fails.
    :param policy: baseline policy to use in place of entry instances, or "".
    """

    workspace: str
    region: str
    kind: str
    rate: float
    seconds: float
    seed: int
    entries: tuple[str, ...]
    tries: int = 1
    timeout: float = 5.0
    policy: str = ""


async def generate(plan):
    """Run a plan in this process and return its samples."""
    load = Load(
        SCENARIOS[plan.workspace],
        plan.entries,
        f"{plan.seed} {plan.region} {plan.kind}",
        plan.tries,
        plan.timeout,
    )
    send_one = {"read": load.read_once, "view": load.view_once}[plan.kind]
    async with anyio.create_task_group() as tasks:
        if plan.policy:
            balancer = Balancer(plan.policy, plan.entries, plan.seed)
            load.callers[plan.region] = [balancer]
            tasks.start_soon(balancer.poll_reports)
        await load.run_open_loop(plan.rate, plan.seconds, send_one, plan.region)
        tasks.cancel_scope.cancel()
    await load.aclose()
    return load.samples


async def run_generators(plans):
    """Run each plan in a process of its own and return all samples."""
    samples = []
    async with anyio.create_task_group() as tasks:
        for plan in plans:
            tasks.start_soon(_run_process, plan, samples)
    return samples


async def _run_process(plan, samples):
    command = [sys.executable, "-m", "bench", "generate"]
    process = await anyio.run_process(
        command,
        input=msgspec.json.encode(plan),
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    samples += msgspec.json.decode(process.stdout, type=list[Sample])
