"""Operation keys while instances are killed and paused and answers are lost."""

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
from .common import get_targets, start

SERVICE = "holdbook"
FAULTS = 200
PERIOD = 0.4  # seconds between faults
MAX_PAUSE = 4.0  # seconds
MAX_DISTURBED = 2
LOOPS = 4  # in each region


async def run(seed):
    """Return the measures."""
    scenario = SCENARIOS["clearsight"]
    async with start() as cluster:
        entries = [str(entry.listen_callers) for entry in cluster.entries.values()]
        load = Load(scenario, entries, seed)
        faults = _Faults(cluster, random.Random(seed))
        async with anyio.create_task_group() as tasks:
            for region in scenario.clients:
                for _ in range(LOOPS):
                    tasks.start_soon(load.loop, load.book_once, region, 4.0)
            kinds = await faults.run()
            load.stop()
        await load.aclose()
        runs = Counter(
            span.key for span in await get_spans(cluster, SERVICE) if span.key
        )
    samples = [sample for sample in load.get_samples("book") if sample.key]
    ends = count_ends(samples)
    unknown = ends.get("may_have_run", 0)
    by_end = {
        end: [runs[sample.key] for sample in samples if sample.end == end]
        for end in ("answered", "not_run", "ran")
    }
    return [
        Measure("operations.faults", sum(kinds.values()), "faults", FAULTS, None, True),
        Measure("operations.keys", len(samples), "keys"),
        Measure("operations.run_twice", sum(n > 1 for n in runs.values()), "keys", 0),
        Measure("operations.false_not_run", sum(by_end["not_run"]), "keys", 0),
        Measure(
            "operations.false_answer",
            sum(n != 1 for n in by_end["answered"] + by_end["ran"]),
            "keys",
            0,
        ),
        Measure("operations.not_run", len(by_end["not_run"]), "keys"),
        Measure("operations.may_have_run", unknown / len(samples), "of keys"),
    ]


class _Faults:
    """Disturbs a few processes at a time."""

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._disturbed = set()

    async def run(self):
        """Bring about all faults and return {kind: count}."""
        kinds = Counter()
        steps = {"kill": self._kill, "pause": self._pause, "lose": self._lose}
        async with anyio.create_task_group() as tasks:
            while sum(kinds.values()) < FAULTS:
                kind = self._rng.choice(sorted(steps))
                if kind == "lose":
                    await self._lose()
                elif len(self._disturbed) < MAX_DISTURBED:
                    free = sorted(set(self._cluster.entries) - self._disturbed)
                    name = self._rng.choice(free)
                    self._disturbed.add(name)
                    tasks.start_soon(steps[kind], name)
                else:
                    await anyio.sleep(PERIOD / 4)
                    continue
                kinds[kind] += 1
                await anyio.sleep(PERIOD * self._rng.uniform(0.5, 1.5))
        return kinds

    async def _kill(self, name):
        self._cluster.kill(name)
        await anyio.sleep(self._rng.uniform(0.0, 1.0))
        self._cluster.start_entry(name)
        await self._cluster.wait_serving(name)
        self._disturbed.discard(name)

    async def _pause(self, name):
        self._cluster.send_signal(name, signal.SIGSTOP)
        await anyio.sleep(self._rng.uniform(0.1, MAX_PAUSE))
        self._cluster.send_signal(name, signal.SIGCONT)
        self._disturbed.discard(name)

    async def _lose(self):
        addresses = list(get_targets(self._cluster, SERVICE).values())
        for address in self._rng.sample(addresses, 3):
            await post_json(address, "/admin/fault", {"lose_answers": 1})
