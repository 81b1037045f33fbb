"""The main job on real processes, and a table of what held."""

import time
from collections import Counter
from dataclasses import dataclass

import anyio

from turmericrudder.caller import Caller, NoAnswer

from .cluster import Cluster, post_json
from .load import Load
from .sample import count_ends, get_quantile_ms
from .scenario import SCENARIOS

__all__ = ["run_demo"]

SETTLE = 3.0  # seconds from the first look-up to full ownership
UPLOAD_BYTES = 4_000_000
PULL_BYTES = 2_000_000
DRAIN_LIMIT = 2.0  # seconds until a leaving upstream gets no new work
STOP_MARGIN = 3.0  # seconds a stop may take beyond the longest work in flight
LONGEST_WORK = 3.6  # seconds of a pull at the stand-ins
CACHE_WAIT = 2.4  # seconds that callers' caches are waited out


@dataclass(frozen=True, slots=True)
class Held:
    """One line of the table."""

    what: str
    value: str
    bound: str
    held: bool


async def run_demo(workspace):
    """Run the demonstration and print its table; return whether all held."""
    began = time.monotonic()
    scenario = SCENARIOS[workspace]
    async with Cluster(workspace) as cluster:
        print(f"{workspace}: {len(cluster.entries)} entry instances, ", end="")
        print(f"{len(cluster.get_upstreams())} upstream targets, logs in", end=" ")
        print(cluster.logs)
        await anyio.sleep(SETTLE)
        lines = await _show(cluster, scenario)
    seconds = time.monotonic() - began
    lines.append(Held("whole demonstration", f"{seconds:.0f} s", "60 s", seconds < 60))
    _print(lines)
    return all(line.held for line in lines)


async def _show(cluster, scenario):
    entries = [str(entry.listen_callers) for entry in cluster.entries.values()]
    load = Load(scenario, entries, seed=1)
    try:
        await _show_lookups(load, scenario)
        lines = [await _lose_answer(cluster, scenario)]
        lines += await _run_load(cluster, scenario, load)
        lines += await _count(cluster, load)
    finally:
        await load.aclose()
    return lines


async def _show_lookups(load, scenario):
    for region, callers in load.callers.items():
        answer = await callers[0].look_up(scenario.read[0])
        names = ", ".join(entry.name for entry in answer.entries)
        print(f"look-up from {region}: {names}")


async def _lose_answer(cluster, scenario):
    """Lose the answer of an operation, then ask again at another instance."""
    for name, address in cluster.get_upstreams().items():
        if name.startswith(scenario.book[0]):
            await post_json(address, "/admin/fault", {"lose_answers": 1})
    client = next(iter(scenario.clients.values()))
    first = Caller(
        [str(cluster.entries[scenario.leaving_entry].listen_callers)], client
    )
    key = await first.make_key(scenario.book[0])
    told = [await _ask(first, scenario, key)]
    other = Caller([str(cluster.entries[scenario.other_entry].listen_callers)])
    told.append(await _ask(other, scenario, key))
    for caller in (first, other):
        await caller.aclose()
    for name, address in cluster.get_upstreams().items():
        if name.startswith(scenario.book[0]):
            await post_json(address, "/admin/fault", {})
    journals = await cluster.get_journals()
    runs = sum(journal["runs"].get(key, 0) for journal in journals.values())
    value = f"{runs} run, told {' then '.join(told)}"
    held = runs == 1 and told == ["ran", "ran"]
    return Held("lost answer, asked again elsewhere", value, "1 run, ran, ran", held)


async def _ask(caller, scenario, key):
    service, path = scenario.book
    try:
        await caller.operate("POST", service, path + "/7", body=b"{}", key=key)
    except NoAnswer as exc:
        return exc.verdict.value
    return "answered"


async def _run_load(cluster, scenario, load):
    """Drain a target and stop an instance while all kinds of work run."""
    async with anyio.create_task_group() as tasks:
        load.start_mixed(tasks, UPLOAD_BYTES, PULL_BYTES)
        await anyio.sleep(2.0)
        lines = [await _drain(cluster, scenario)]
        lines.append(await _stop(cluster, scenario))
        await anyio.sleep(2.0)
        load.stop()
    return lines


async def _drain(cluster, scenario):
    name = scenario.drained_target
    await anyio.to_thread.run_sync(cluster.run_cli, "drain", name)
    began = anyio.current_time()
    started = -1
    while anyio.current_time() - began < 3 * DRAIN_LIMIT:
        paths = (await cluster.get_journals())[name]["paths"]
        if sum(paths.values()) == started:
            break
        started = sum(paths.values())
        last = anyio.current_time() - began
        await anyio.sleep(0.5)
    return Held("drained target's last new work", f"{last:.1f} s", "2 s", last <= 2)


async def _stop(cluster, scenario):
    code, seconds = await cluster.stop(scenario.leaving_entry)
    limit = CACHE_WAIT + LONGEST_WORK + STOP_MARGIN
    value = f"{seconds:.1f} s, exit code {code}"
    held = code == 0 and seconds <= limit
    return Held("planned stop under load", value, f"{limit:.1f} s, 0", held)


async def _count(cluster, load):
    runs = Counter()
    for journal in (await cluster.get_journals()).values():
        runs.update(journal["runs"])
    twice = sum(count > 1 for count in runs.values())
    refused = load.get_samples("book", "not_run")
    false = sum(runs[sample.key] > 0 for sample in refused if sample.key)
    ends = Counter(count_ends(load.samples))
    lines = [
        Held("requests", str(sum(ends.values())), "", True),
        Held("answered whole", str(ends["answered"]), "", ends["answered"] > 0),
        Held("refused, did not run", str(ends["not_run"]), "", True),
        Held("cut", str(ends["cut"]), "0", ends["cut"] == 0),
        Held("answer lost", str(ends["lost"]), "0", ends["lost"] == 0),
        Held("wrong answer", str(ends["wrong"]), "0", ends["wrong"] == 0),
        Held("may have run", str(ends["may_have_run"]), "0", not ends["may_have_run"]),
        Held("operations run twice", str(twice), "0", twice == 0),
        Held("told not_run but ran", str(false), "0", false == 0),
    ]
    for kind in ("read", "book", "upload", "pull"):
        value = " / ".join(
            f"{get_quantile_ms(load.get_samples(kind), quantile):.0f}"
            for quantile in (0.5, 0.9, 0.99)
        )
        lines.append(Held(f"{kind} p50 / p90 / p99", f"{value} ms", "", True))
    return lines


def _print(lines):
    print()
    print(f"{'WHAT':<38}{'MEASURED':<34}{'BOUND':<18}HELD")
    for line in lines:
        held = "yes" if line.held else "NO"
        print(f"{line.what:<38}{line.value:<34}{line.bound:<18}{held}")
