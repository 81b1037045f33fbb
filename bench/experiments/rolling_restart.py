"""Experiment: graceful restart of one instance after another, under load."""

import anyio

from ..cluster import Cluster
from ..load import Load
from ..measure import Measure
from ..sample import count_ends
from ..scenario import SCENARIOS
from .common import start_cluster

LONGEST_SERVICE_TIME = 3.6  # seconds, of a download from the stand-ins
STOP_MARGIN = 3.0  # seconds on top of the longest service time
UPLOAD_BYTES = 2_000_000
PULL_BYTES = 500_000
PAUSE_AFTER_RESTART = 2.0  # seconds


async def run(seed):
    """Return the measures."""
    scenario = SCENARIOS["clearsight"]
    async with start_cluster() as cluster:
        entries = [str(entry.listen_callers) for entry in cluster.entries.values()]
        load = Load(scenario, entries, seed)
        async with anyio.create_task_group() as tasks:
            load.start_mixed(tasks, UPLOAD_BYTES, PULL_BYTES)
            stops = [await _restart(cluster, name) for name in cluster.entries]
            load.stop()
        await load.aclose()
    ends = count_ends(load.samples)
    not_answered = sum(ends.get(end, 0) for end in ("not_run", "may_have_run", "lost"))
    return [
        Measure("drain.requests", len(load.samples), "requests"),
        Measure("drain.cut", ends.get("cut", 0), "requests", 0),
        Measure("drain.wrong", ends.get("wrong", 0), "requests", 0),
        Measure("drain.not_answered", not_answered, "requests", 0),
        Measure("drain.bad_exits", sum(code != 0 for code, _ in stops), "exits", 0),
        Measure(
            "drain.longest_stop",
            max(seconds for _, seconds in stops),
            "s",
            LONGEST_SERVICE_TIME + STOP_MARGIN,
        ),
    ]


async def _restart(cluster: Cluster, name):
    """Restart an instance; return (exit code, seconds that the shutdown took)."""
    exit_and_seconds = await cluster.stop(name)
    cluster.start_entry(name)
    await cluster.wait_serving(name)
    await anyio.sleep(PAUSE_AFTER_RESTART)
    return exit_and_seconds
