"""A route is removed, and added again for a faster service with a shorter timeout."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import scene_2  # noqa: E402

FIRST = ("r1", "/rx/", "idempotent", "lensreader", 2500, 400)
SLOW = ("r2", "/stock/", "idempotent", "binvault", 10_000, 1200)
ADDED = ("r2", "/stock/", "idempotent", "lensreader", 1500, 400)
SERVICES = [("lensreader", 3.0, 6.0), ("binvault", 3.0, 6.0)]
APPLY_TIME = 2.5  # seconds; config_apply_ms


async def main(scene, has_trouble):
    # Without the changes of the configuration, the route has its later form all along.
    second = SLOW if has_trouble else ADDED
    scene.put_configuration(3, [FIRST, second], SERVICES)
    zones = list(scene_2.ZONES)
    for n in range(4):
        scene.add_target(f"lens-{n}", "lensreader", zones[n % 4], work=0.4)
    for n in range(8):
        scene.add_target(f"bin-{n}", "binvault", zones[n % 4], work=1.6)
    for n, zone in enumerate(zones):
        scene.add_gateway(f"g{n}", zone)
    await scene.start()

    async def send(prefix, count, deadline):
        """Send requests to all gateways in turn and return the number served."""
        tasks = []
        for n in range(count):
            gateway = scene.gateways[n % len(scene.gateways)]
            path = f"{prefix}{n}"
            tasks.append(
                scene.spawn(scene.send(gateway, "GET", path, deadline=deadline))
            )
            await asyncio.sleep(0.1)
        results = await asyncio.gather(*tasks)
        return sum(result.status == 200 for result in results)

    served = await send("/stock/", 80, 10.0)
    scene.record.write(f"at first, {served} of 80 requests of r2 were served")
    if has_trouble:
        scene.put_configuration(9, [FIRST], SERVICES)
        scene.record.write("version r9 removes the route r2")
        await asyncio.sleep(6)
        scene.put_configuration(14, [FIRST, ADDED], SERVICES)
        scene.record.write(f"version r14 adds the route {ADDED}")
        await asyncio.sleep(APPLY_TIME + 4)
    count = 200
    first, added = await asyncio.gather(
        send("/rx/", count, 2.5), send("/stock/", count, 2.5)
    )
    scene.record.write(f"served: {first} of {count} of r1, {added} of {count} of r2")
    text = (
        f"CONFIG: {added} of {count} requests on the route added later were served,"
        f" and {first} of {count} on the first route"
    )
    return [text] if added * 4 < first else []


scene_2.run(main, Path(__file__).parent)
