"""Half of the targets spoil the load figures in every fiftieth of their answers.

The number of requests running is that of a 64-bit counter which went below zero.
Without the disruption the figures are right.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

ZONES = [*["gulf-mobile"] * 3, *["gulf-biloxi"] * 3]
CONNECTIONS = 10  # kept ones to each instance
SERVICE_TIME = 0.3  # seconds
TARGETS = 10
SPOILING_SHARE = 0.5  # of the targets
SPOILED_EACH = 50
SPOILED_LOAD = f"{2**64 - 1},1,6"
SPOILING_SECONDS = 5.5
PAUSE_SECONDS = 2.0
PERIODS = 6
# The rule: processes end by themselves so often, on so many instances.
ENDS, INSTANCES = 3, 2


class SpoilingTarget(harness.Target):
    """A target that spoils its load figures in some answers.

    :ivar is_spoiling: whether it does so now.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.is_spoiling = False
        self.answered = self.spoiled = 0

    def write_response(self, writer, headers, status, body, **options):
        """Write a response, some with spoiled load figures."""
        if self.is_spoiling:
            self.answered += 1
            if self.answered % SPOILED_EACH == 0:
                self.spoiled += 1
                options["X_Server_Load"] = SPOILED_LOAD
        super().write_response(writer, headers, status, body, **options)


async def main(record):
    def make_targets(store):
        return [
            SpoilingTarget(store, f"t{number}", slots=24, service_time=SERVICE_TIME)
            for number in range(TARGETS)
        ]

    async with harness.run_deployment(
        record,
        make_targets,
        ZONES,
        [harness.make_route("w", "/write/", "non_idempotent", affinity=True)],
    ) as (_, targets, gateways):
        faulty = targets[: int(SPOILING_SHARE * TARGETS)]
        results = {}
        clients = []
        for gateway in gateways:
            gateway.supervise(record)
            clients += [
                asyncio.create_task(
                    harness.keep_sending(gateway, number, "/write/pay", "POST", results)
                )
                for number in range(CONNECTIONS)
            ]
        for _ in range(PERIODS):
            await asyncio.sleep(PAUSE_SECONDS)
            record.write("half of the targets begin to spoil answers")
            for target in faulty:
                target.is_spoiling = harness.has_trouble()
            await asyncio.sleep(SPOILING_SECONDS)
            for target in faulty:
                target.is_spoiling = False
            record.write("the targets spoil no more answers")
            if is_broken(gateways):
                break
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
    return judge(record, targets, gateways, results)


def is_broken(gateways):
    """Return whether enough processes have ended by themselves."""
    return sum(len(gateway.own_ends) >= ENDS for gateway in gateways) >= INSTANCES


def judge(record, targets, gateways, results):
    """Count the ends of processes, and the requests that they took along."""
    for gateway in gateways:
        record.write(f"{gateway.name} ended by itself {len(gateway.own_ends)} times")
    ran = {
        headers["x-attempt-id"]
        for target in targets
        if not target.spoiled
        for _, _, headers, _ in target.runs
    }
    statuses = {name: status for name, (status, _) in results.items()}
    lost = sorted(name for name in ran if statuses[name] not in (200, None))
    for name in lost:
        record.write(f"{name}: run by a sound target, answered {statuses[name]}")
    record.write(f"answers (0: none): {harness.count_statuses(statuses)}")
    record.write(
        f"{sum(target.spoiled for target in targets)} answers spoiled; {len(ran)}"
        f" requests run by the sound targets, the answers of {len(lost)} lost"
    )
    return harness.BROKEN if is_broken(gateways) else harness.HELD


harness.run_case(main, __file__)
