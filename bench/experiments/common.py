"""Starting a deployment and offering load, as most experiments do it."""

from contextlib import asynccontextmanager

import anyio

from turmericrudder.configuration import compile_source, read_source

from ..baseline import Balancer
from ..cluster import Cluster
from ..generator import Plan, run_generators
from ..scenario import SCENARIOS
from ..variant import make_variant

__all__ = ["get_targets", "make_balancer", "offer", "start"]

SETTLE = 4.0  # seconds until all slots are in use


@asynccontextmanager
async def start(workspace="clearsight", **changes):
    """Start a changed copy of an example and wait until it has settled."""
    root = make_variant(workspace, **changes)
    async with Cluster(workspace, examples=root) as cluster:
        await anyio.sleep(SETTLE)
        yield cluster


def get_targets(cluster, service, region=None):
    """Return {target name: address} of a service, of one region if given."""
    configuration = compile_source(read_source(cluster.directory))
    return {
        target.name: str(target.address)
        for target in configuration.get_targets(service, region)
    }


def make_balancer(cluster, policy, service, region, seed):
    """Return a baseline balancer over a region's targets of a service."""
    return Balancer(policy, get_targets(cluster, service, region).values(), seed)


async def offer(cluster, rates, seconds, seed, kind="read", policy="", **options):
    """Offer open load from each region in a process of its own.

    :param rates: {region: requests a second}.
    :param policy: a baseline policy, which sends to the region's targets.
    """
    scenario = SCENARIOS[cluster.operator.workspace]
    service = (scenario.read if kind == "read" else scenario.upload)[0]
    entries = [str(entry.listen_callers) for entry in cluster.entries.values()]
    plans = []
    for region, rate in rates.items():
        targets = get_targets(cluster, service, region)
        plan = Plan(
            workspace=scenario.workspace,
            region=region,
            kind=kind,
            rate=rate,
            seconds=seconds,
            seed=seed,
            entries=tuple(targets.values() if policy else entries),
            policy=policy,
            **options,
        )
        plans.append(plan)
    return await run_generators(plans)
