"""A demonstration on real processes that prints a table of checks.

It checks look-ups, an operation whose response is lost, a drained target and a
graceful shutdown, the latter two under load.
"""

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

SETTLE_TIME = 3.0  # seconds from the first look-up until all slots are owned
UPLOAD_BYTES = 4_000_000
PULL_BYTES = 2_000_000
DRAIN_TIMEOUT = 2.0  # seconds in which a drained target may get new requests
STOP_MARGIN = 3.0  # seconds on top of the longest service time
LONGEST_SERVICE_TIME = 3.6  # seconds, of a download from the stand-ins
LOOKUP_CACHE_WAIT = 2.4  # seconds, for callers' cached look-ups to expire


@dataclass(frozen=True, slots=True)
class CheckResult:
    """One row of the table; ``bound`` is empty if the value is only reported."""

    label: str
    value: str
    bound: str
    is_met: bool


async def run_demo(workspace):
    """Run the demonstration, print its table; return whether all bounds are met.

    :param workspace: name of an example deployment.
    """
    began = time.monotonic()
    scenario = SCENARIOS[workspace]
    async with Cluster(workspace) as cluster:
        print(f"{workspace}: {len(cluster.entries)} entry instances, ", end="")
        print(f"{len(cluster.get_upstreams())} upstream targets, logs in", end=" ")
        print(cluster.logs)
        await anyio.sleep(SETTLE_TIME)
        results = await _run_checks(cluster, scenario)
    seconds = time.monotonic() - began
    results.append(
        CheckResult("whole demonstration", f"{seconds:.0f} s", "60 s", seconds < 60)
    )
    _print_table(results)
    return all(result.is_met for result in results)


async def _run_checks(cluster, scenario):
    entries = [str(entry.listen_callers) for entry in cluster.entries.values()]
    load = Load(scenario, entries, seed=1)
    try:
        await _print_lookups(load, scenario)
        results = [await _check_lost_response(cluster, scenario)]
        results += await _check_under_load(cluster, scenario, load)
        results += await _check_totals(cluster, load)
    finally:
        await load.aclose()
    return results


async def _print_lookups(load, scenario):
    for region, callers in load.callers.items():
        response = await callers[0].look_up(scenario.read[0])
        names = ", ".join(entry.name for entry in response.entries)
        print(f"look-up from {region}: {names}")


async def _check_lost_response(cluster, scenario):
    """Lose an operation's response, then repeat its key at another instance."""
    for name, address in cluster.get_upstreams().items():
        if name.startswith(scenario.book[0]):
            await post_json(address, "/admin/fault", {"lose_answers": 1})
    client = next(iter(scenario.clients.values()))
    first_caller = Caller(
        [str(cluster.entries[scenario.stopped_entry].listen_callers)], client
    )
    key = await first_caller.make_key(scenario.book[0])
    verdicts = [await _operate(first_caller, scenario, key)]
    other_caller = Caller([str(cluster.entries[scenario.other_entry].listen_callers)])
    verdicts.append(await _operate(other_caller, scenario, key))
    for caller in (first_caller, other_caller):
        await caller.aclose()
    for name, address in cluster.get_upstreams().items():
        if name.startswith(scenario.book[0]):
            await post_json(address, "/admin/fault", {})
    journals = await cluster.get_journals()
    runs = sum(journal["runs"].get(key, 0) for journal in journals.values())
    value = f"{runs} run, reported {' then '.join(verdicts)}"
    is_met = runs == 1 and verdicts == ["ran", "ran"]
    return CheckResult(
        "lost response, key sent elsewhere", value, "1 run, ran, ran", is_met
    )


async def _operate(caller, scenario, key):
    """Run an operation; return ``answered`` or the verdict of the error."""
    service, path = scenario.book
    try:
        await caller.operate("POST", service, path + "/7", body=b"{}", key=key)
    except NoAnswer as exc:
        return exc.verdict.value
    return "answered"


async def _check_under_load(cluster, scenario, load):
    """Drain a target and stop an instance under load of all kinds."""
    async with anyio.create_task_group() as tasks:
        load.start_mixed(tasks, UPLOAD_BYTES, PULL_BYTES)
        await anyio.sleep(2.0)
        results = [await _check_drain(cluster, scenario)]
        results.append(await _check_graceful_shutdown(cluster, scenario))
        await anyio.sleep(2.0)
        load.stop()
    return results


async def _check_drain(cluster, scenario):
    """Drain a target; measure when it got its last new request."""
    name = scenario.drained_target
    await anyio.to_thread.run_sync(cluster.run_cli, "drain", name)
    began = anyio.current_time()
    started_count = -1
    while anyio.current_time() - began < 3 * DRAIN_TIMEOUT:
        paths = (await cluster.get_journals())[name]["paths"]
        if sum(paths.values()) == started_count:
            break
        started_count = sum(paths.values())
        last_change = anyio.current_time() - began
        await anyio.sleep(0.5)
    return CheckResult(
        "drained target's last new request",
        f"{last_change:.1f} s",
        "2 s",
        last_change <= 2,
    )


async def _check_graceful_shutdown(cluster, scenario):
    code, seconds = await cluster.stop(scenario.stopped_entry)
    limit = LOOKUP_CACHE_WAIT + LONGEST_SERVICE_TIME + STOP_MARGIN
    value = f"{seconds:.1f} s, exit code {code}"
    is_met = code == 0 and seconds <= limit
    return CheckResult(
        "graceful shutdown under load", value, f"{limit:.1f} s, 0", is_met
    )


async def _check_totals(cluster, load):
    """Compare the samples with the journals of the upstreams."""
    runs = Counter()
    for journal in (await cluster.get_journals()).values():
        runs.update(journal["runs"])
    repeated = sum(count > 1 for count in runs.values())
    rejected = load.get_samples("book", "not_run")
    falsely_rejected = sum(runs[sample.key] > 0 for sample in rejected if sample.key)
    ends = Counter(count_ends(load.samples))
    results = [
        CheckResult("requests", str(sum(ends.values())), "", True),
        CheckResult(
            "answered completely", str(ends["answered"]), "", ends["answered"] > 0
        ),
        CheckResult("refused, did not run", str(ends["not_run"]), "", True),
        CheckResult(
            "no complete response (cut)", str(ends["cut"]), "0", ends["cut"] == 0
        ),
        CheckResult("response lost", str(ends["lost"]), "0", ends["lost"] == 0),
        CheckResult("wrong response", str(ends["wrong"]), "0", ends["wrong"] == 0),
        CheckResult(
            "may have run", str(ends["may_have_run"]), "0", not ends["may_have_run"]
        ),
        CheckResult("operations run twice", str(repeated), "0", repeated == 0),
        CheckResult(
            "reported not_run but ran",
            str(falsely_rejected),
            "0",
            falsely_rejected == 0,
        ),
    ]
    for kind in ("read", "book", "upload", "pull"):
        value = " / ".join(
            f"{get_quantile_ms(load.get_samples(kind), quantile):.0f}"
            for quantile in (0.5, 0.9, 0.99)
        )
        results.append(CheckResult(f"{kind} p50 / p90 / p99", f"{value} ms", "", True))
    return results


def _print_table(results):
    print()
    print(f"{'WHAT':<38}{'MEASURED':<34}{'BOUND':<18}HELD")
    for result in results:
        mark = "yes" if result.is_met else "NO"
        print(f"{result.label:<38}{result.value:<34}{result.bound:<18}{mark}")
