"""A zone's targets crash while the store is down, and start again under their ids.

Without the disruption the store is up.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

ZONES = ["gulf-mobile", "gulf-biloxi", "piedmont-durham"]
STORE_DOWN_SECONDS = 4.5
DOWN_AFTER = 0.3  # seconds from the store's outage
DOWN_SECONDS = 2.0  # of the targets
COLD_SECONDS = 3.0
COLD_PER_SECOND = 7.3
CRASH_FACTOR = 2.5  # of COLD_PER_SECOND, at which the cold target crashes
TARGETS = 2
SLOTS, SERVICE_TIME = 6, 0.05  # of a target; one runs 120 requests a second
INTERVAL = 0.05  # seconds between the requests to one instance
BOUND = COLD_PER_SECOND * harness.BOUNDS["cold_overage"] + harness.BOUNDS["cold_slack"]


async def main(record):
    def make_targets(store):
        return [
            harness.Target(store, f"t{number}", slots=SLOTS, service_time=SERVICE_TIME)
            for number in range(TARGETS)
        ]

    async with harness.run_deployment(
        record,
        make_targets,
        ZONES,
        [harness.make_route("w", "/write/", "non_idempotent", affinity=True)],
        cold_start_s=COLD_SECONDS,
        cold=COLD_PER_SECOND,
    ) as (store, targets, gateways):
        results = {}
        clients = asyncio.create_task(
            harness.send_steadily(gateways, INTERVAL, "/write/reserve", "POST", results)
        )
        await asyncio.sleep(2)
        loop = asyncio.get_running_loop()
        if harness.has_trouble():
            store.is_down = True
            loop.call_later(STORE_DOWN_SECONDS, setattr, store, "is_down", False)
            record.write(f"the store answers 503 for {STORE_DOWN_SECONDS} s")
        await asyncio.sleep(DOWN_AFTER)
        record.write("the targets crash")
        crashed_at = loop.time()
        for target in targets:
            target.tolerated_rate = CRASH_FACTOR * COLD_PER_SECOND
        await asyncio.gather(
            *(target.restart(DOWN_SECONDS, COLD_SECONDS) for target in targets)
        )
        record.write("the targets are back, cold, with the same ids and addresses")
        await asyncio.sleep(COLD_SECONDS)
        clients.cancel()
        await asyncio.gather(clients, return_exceptions=True)
    record.write(f"answers: {harness.count_statuses(results)}")
    counts = [judge(record, target, crashed_at, results) for target in targets]
    return harness.BROKEN if max(counts) > BOUND else harness.HELD


def judge(record, target, crashed_at, results):
    """Return the most requests that the cold target got in one second."""
    arrivals = [
        (at, headers["x-attempt-id"])
        for at, _, headers, _ in target.runs
        if crashed_at < at < target.cold_until
    ]
    for at, attempt_id in arrivals:
        record.write(
            f"{target.cold_until - at:.3f} s before it is warm, {target.name} runs"
            f" {attempt_id}, answered {results[attempt_id]}"
        )
    busiest = harness.find_busiest_second(arrivals)
    record.write(
        f"most requests to {target.name}, cold, in one second: {len(busiest)}; bound"
        f" {BOUND:.2f}; it crashed {len(target.crashes)} times"
    )
    return len(busiest)


harness.run_case(main, __file__)
