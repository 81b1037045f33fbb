"""Functions for experiments to start a deployment and to offer load."""

from contextlib import asynccontextmanager

import anyio

from turmericrudder.configuration import compile_source, read_source

from ..baseline import Balancer
from ..cluster import Cluster
from ..deployment_copy import make_deployment_copy
from ..generator import Plan, run_generators
from ..scenario import SCENARIOS

__all__ = ["get_targets", "make_balancer", "offer_load", "start_cluster"]

SETTLE_TIME = 4.0  # seconds until all slots are in use


@asynccontextmanager
async def start_cluster(workspace="clearsight", **changes):
    """Start a changed copy of an example deployment, wait for SETTLE_TIME, yield it.

    :param changes: arguments of :func:`make_deployment_copy`.
    """
    root = make_deployment_copy(workspace, **changes)
    async with Cluster(workspace, examples=root) as cluster:
        await anyio.sleep(SETTLE_TIME)
        yield cluster


def get_targets(cluster, service, region=None):
    """Return {target name: address} of a service, limited to ``region`` if given."""
    configuration = compile_source(read_source(cluster.directory))
    return {
        target.name: str(target.address)
        for target in configuration.get_targets(service, region)
    }


def make_balancer(cluster, policy, service, region, seed):
    """Return a baseline balancer for a service's targets in a region."""
    return Balancer(policy, get_targets(cluster, service, region).values(), seed)


async def offer_load(cluster, rates, seconds, seed, kind="read", policy="", **options):
    """Offer open-loop load from a process per region; return its samples.

    :param rates: {region: requests per second}.
    :param seconds: duration of the load.
    :param kind: ``read`` or ``view``, as in :class:`Load`.
    :param policy: baseline policy to balance over the targets of the region, or
        "" to send to the entry instances.
    :param options: further fields of :class:`Plan`.
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
