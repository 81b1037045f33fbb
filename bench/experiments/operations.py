"""Experiment: operation keys while instances fail and responses are lost."""

import random
import signal
from collections import Counter

import anyio

from ..cluster import post_json
from ..load import Load
from ..measure import Measure
from ..sample import count_ends
from ..scenario import SCENARIOS
from ..spans import get_spans
from .common import get_targets, start_cluster

SERVICE = "holdbook"
FAULT_COUNT = 200  # faults per run
FAULT_INTERVAL = 0.4  # seconds between faults
MAX_PAUSE = 4.0  # seconds that an instance is stopped with SIGSTOP
MAX_DISTURBED = 2  # instances that are down or paused at the same time
LOOPS_PER_REGION = 4  # closed loops of operations


async def run(seed):
    """Return the measures."""
    scenario = SCENARIOS["clearsight"]
    async with start_cluster() as cluster:
        entries = [str(entry.listen_callers) for entry in cluster.entries.values()]
        load = Load(scenario, entries, seed)
        faults = _FaultInjector(cluster, random.Random(seed))
        async with anyio.create_task_group() as tasks:
            for region in scenario.clients:
                for _ in range(LOOPS_PER_REGION):
                    tasks.start_soon(load.run_closed_loop, load.book_once, region, 4.0)
            counts = await faults.run()
            load.stop()
        await load.aclose()
        runs = Counter(
            span.key for span in await get_spans(cluster, SERVICE) if span.key
        )
    samples = [sample for sample in load.get_samples("book") if sample.key]
    ends = count_ends(samples)
    unknown_count = ends.get("may_have_run", 0)
    runs_by_end = {
        end: [runs[sample.key] for sample in samples if sample.end == end]
        for end in ("answered", "not_run", "ran")
    }
    return [
        Measure(
            "operations.faults", sum(counts.values()), "faults", FAULT_COUNT, None, True
        ),
        Measure("operations.keys", len(samples), "keys"),
        Measure("operations.run_twice", sum(n > 1 for n in runs.values()), "keys", 0),
        Measure("operations.false_not_run", sum(runs_by_end["not_run"]), "keys", 0),
        Measure(
            "operations.false_answer",
            sum(n != 1 for n in runs_by_end["answered"] + runs_by_end["ran"]),
            "keys",
            0,
        ),
        Measure("operations.not_run", len(runs_by_end["not_run"]), "keys"),
        Measure("operations.may_have_run", unknown_count / len(samples), "of keys"),
    ]


class _FaultInjector:
    """Kills and pauses entry instances and makes targets lose responses."""

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._disturbed = set()

    async def run(self):
        """Inject FAULT_COUNT random faults; return {kind: count}."""
        counts = Counter()
        actions = {
            "kill": self._kill_and_restart,
            "pause": self._pause_and_resume,
            "lose": self._lose_responses,
        }
        async with anyio.create_task_group() as tasks:
            while sum(counts.values()) < FAULT_COUNT:
                kind = self._rng.choice(sorted(actions))
                if kind == "lose":
                    await self._lose_responses()
                elif len(self._disturbed) < MAX_DISTURBED:
                    undisturbed = sorted(set(self._cluster.entries) - self._disturbed)
                    name = self._rng.choice(undisturbed)
                    self._disturbed.add(name)
                    tasks.start_soon(actions[kind], name)
                else:
                    await anyio.sleep(FAULT_INTERVAL / 4)
                    continue
                counts[kind] += 1
                await anyio.sleep(FAULT_INTERVAL * self._rng.uniform(0.5, 1.5))
        return counts

    async def _kill_and_restart(self, name):
        self._cluster.kill(name)
        await anyio.sleep(self._rng.uniform(0.0, 1.0))
        self._cluster.start_entry(name)
        await self._cluster.wait_serving(name)
        self._disturbed.discard(name)

    async def _pause_and_resume(self, name):
        self._cluster.send_signal(name, signal.SIGSTOP)
        await anyio.sleep(self._rng.uniform(0.1, MAX_PAUSE))
        self._cluster.send_signal(name, signal.SIGCONT)
        self._disturbed.discard(name)

    async def _lose_responses(self):
        addresses = list(get_targets(self._cluster, SERVICE).values())
        for address in self._rng.sample(addresses, 3):
            await post_json(address, "/admin/fault", {"lose_answers": 1})
