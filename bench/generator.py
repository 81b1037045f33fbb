"""Open load in processes of its own, so that one does not slow another."""

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
    """What one generating process does.

    :param kind: ``read`` or ``view``.
    :param rate: requests a second of this region's clients.
    :param entries: entry instances, or targets if a baseline policy is given.
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
    """Run a plan and return its samples."""
    load = Load(
        SCENARIOS[plan.workspace],
        plan.entries,
        f"{plan.seed} {plan.region} {plan.kind}",
        plan.tries,
        plan.timeout,
    )
    once = {"read": load.read_once, "view": load.view_once}[plan.kind]
    async with anyio.create_task_group() as tasks:
        if plan.policy:
            balancer = Balancer(plan.policy, plan.entries, plan.seed)
            load.callers[plan.region] = [balancer]
            tasks.start_soon(balancer.poll_reports)
        await load.arrive(plan.rate, plan.seconds, once, plan.region)
        tasks.cancel_scope.cancel()
    await load.aclose()
    return load.samples


async def run_generators(plans):
    """Run each plan in a process and return all samples."""
    samples = []
    async with anyio.create_task_group() as tasks:
        for plan in plans:
            tasks.start_soon(_run_one, plan, samples)
    return samples


async def _run_one(plan, samples):
    command = [sys.executable, "-m", "bench", "generate"]
    process = await anyio.run_process(
        command,
        input=msgspec.json.encode(plan),
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    samples += msgspec.json.decode(process.stdout, type=list[Sample])
