"""One of two targets is replaced while the store turns two of six entry instances away.

Without the disruption the store serves all of them.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

ZONES = ["gulf-mobile", "gulf-mobile", "gulf-biloxi", *["piedmont-durham"] * 3]
REFUSED_SHARE = 0.35  # of the instances, rounded down
REFUSED_SECONDS = 9.0
RELEASE_AFTER = 5.5  # seconds from the first refused call
COLD_SECONDS = 3.0
COLD_PER_SECOND = 7.3
CRASH_FACTOR = 2.5  # of COLD_PER_SECOND, at which the cold target crashes
SENDERS = 3  # instances in the region of the target, which the clients there call
INTERVAL = 0.04  # seconds between the requests to one instance
SLOTS, SERVICE_TIME = 10, 0.2  # of a target; one runs 50 requests a second
BOUND = COLD_PER_SECOND * harness.BOUNDS["cold_overage"] + harness.BOUNDS["cold_slack"]


async def main(record):
    def make_target(store, name):
        return harness.Target(store, name, slots=SLOTS, service_time=SERVICE_TIME)

    def make_targets(store):
        return [make_target(store, "t-old"), make_target(store, "t-other")]

    async with harness.run_deployment(
        record,
        make_targets,
        ZONES,
        [harness.make_route("w", "/write/", "non_idempotent")],
        cold_start_s=COLD_SECONDS,
        cold=COLD_PER_SECOND,
    ) as (store, targets, gateways):
        results = {}
        clients = asyncio.create_task(
            harness.send_steadily(
                gateways[:SENDERS], INTERVAL, "/write/reserve", "POST", results
            )
        )
        await asyncio.sleep(2)
        if harness.has_trouble():
            refuse_some(record, store, gateways)
        await asyncio.sleep(RELEASE_AFTER)
        old, new = targets[0], make_target(store, "t-new")
        new.tolerated_rate = CRASH_FACTOR * COLD_PER_SECOND
        targets.append(new)
        await new.start(COLD_SECONDS)
        record.write("t-new registers, cold")
        old.state = "draining"
        old.register()
        record.write("t-old registers as draining")
        await asyncio.sleep(COLD_SECONDS)
        clients.cancel()
        await asyncio.gather(clients, return_exceptions=True)
    return judge(record, new, results)


def refuse_some(record, store, gateways):
    """Let the store answer 503 to a share of the instances for some seconds."""
    refused = {each.name for each in gateways[: int(REFUSED_SHARE * len(gateways))]}
    refused_until = time.monotonic() + REFUSED_SECONDS

    async def refuse(caller, method, path):
        if caller in refused and time.monotonic() < refused_until:
            return 503, {}
        return None

    store.behave = refuse
    record.write(f"the store answers 503 to {sorted(refused)}")


def judge(record, target, results):
    """Compare the requests to the cold target with the bound."""
    arrivals = [
        (at, headers["x-attempt-id"])
        for at, _, headers, _ in target.runs
        if at < target.cold_until
    ]
    for at, attempt_id in arrivals:
        record.write(
            f"{target.cold_until - at:.3f} s before it is warm, t-new runs"
            f" {attempt_id}, answered {results[attempt_id]}"
        )
    record.write(f"answers: {harness.count_statuses(results)}")
    record.write(f"t-new crashed {len(target.crashes)} times")
    busiest = harness.find_busiest_second(arrivals)
    senders = sorted({attempt_id.rpartition(".")[0] for _, attempt_id in busiest})
    record.write(
        f"most requests to the cold target in one second: {len(busiest)} from"
        f" {senders}; bound {BOUND:.2f}"
    )
    return harness.BROKEN if len(busiest) > BOUND else harness.HELD


harness.run_case(main, __file__)
