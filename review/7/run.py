"""Targets leave, and the store cuts the watches that wait before and after."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import scene_2  # noqa: E402

# Seconds from the removal of a target's entry to the cuts of the watches that wait.
CUT_TIMES = (-1.2, 0.3)
DRAIN_TIME = 2.5  # seconds; drain_ms
STAY_TIME = 3.3  # seconds for which a target serves after its entry is removed


async def main(scene, has_trouble):
    scene.put_configuration(
        3,
        [("r1", "/pair/", "non_idempotent", "holdbook", 3000, 500)],
        [("holdbook", 3.0, 6.0)],
    )
    zones = list(scene_2.ZONES)
    for n in range(16):
        scene.add_target(f"hold-{n}", "holdbook", zones[n % 4], work=0.5, slots=3)
    for n, zone in enumerate(zones):
        scene.add_gateway(f"g{n}", zone)
    await scene.start()

    answers = {}

    async def send(gateway, n):
        result = await scene.send(gateway, "POST", f"/pair/{n}", b"pair")
        answers[result.attempt_id] = result.status

    async def send_traffic(gateway):
        for n in range(420):
            scene.spawn(send(gateway, n))
            await asyncio.sleep(0.1)

    async def cut_watches(removed_at):
        for delay in CUT_TIMES:
            await asyncio.sleep(removed_at + delay - time.monotonic())
            scene.record.write("the store cuts the watches that wait")
            scene.store.cut_watches()

    traffic = [scene.spawn(send_traffic(gateway)) for gateway in scene.gateways]
    late = {}
    for target in scene.targets[:5]:
        removed_at = time.monotonic() + 5.0
        if has_trouble:
            scene.spawn(cut_watches(removed_at))
        await asyncio.sleep(removed_at - time.monotonic())
        target.is_registered = False
        scene.store.remove(target.key)
        removed_at = time.monotonic()
        scene.record.write(f"the entry of {target.name} is removed")
        await asyncio.sleep(STAY_TIME)
        for at, attempt_id, _ in target.runs:
            if at > removed_at + DRAIN_TIME:
                late[attempt_id] = f"{target.name} after {at - removed_at:.2f} s"
        scene.record.write(f"{target.name} ends, {target.running} requests run")
        target.close()
    await asyncio.gather(*traffic)
    await asyncio.sleep(4)
    lost = [name for name in late if answers.get(name) != 200]
    text = (
        f"DRAIN: {len(late)} requests reached targets later than drain_ms after their"
        f" removal, {len(lost)} of them were not answered by them: {late}"
    )
    return [text] if late else []


scene_2.run(main, Path(__file__).parent)
