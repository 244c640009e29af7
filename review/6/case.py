"""All proxies come to one of two controllers, then all endpoints are replaced: does each proxy keep a server?"""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import LANES, Endpoint, Pilot, Proxy, Record, World, deployment, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["cdmx-norte", "cdmx-sur", "queretaro", "puebla"]
PROXIES, ENDPOINTS = int(os.environ.get("N", 400)), 30
LINES_PER_S = float(os.environ.get("LINES", 3400))
LATE_S = 0.3
STEP_S = 3.6  # between the replacements of three endpoints each

SETTINGS = deployment(
    ZONES,
    LANES,
    {"stopSendingWithin": 3000000, "warmAfter": 18000000, "fallMultiple": 3.0, "fullMayHaveRun": True},
    {
        "admission": "rate",
        "bare": 5300000,
        "baseMode": 1,
        "channelRate": LINES_PER_S,
        "perMessage": 6.0,
        "mostWaiting": 1.5 * LINES_PER_S,
        "pushesAllowed": 20,
        "late": round(LATE_S * 1e6),
        "lateMost": round(2.5 * LATE_S * 1e6),
        "dataPlaneSize": PROXIES,
    },
    {"how": "probe", "columns": ["util"]},
)


async def case(record: Record) -> int:
    """Play the day."""
    world = World(record, SETTINGS, seed=7, lines_per_s=LINES_PER_S, per_message=6.0, late_s=LATE_S)
    rate = 400.0  # requests a second in all; the endpoints do four times as many
    for number in range(ENDPOINTS):
        endpoint = Endpoint(f"s-{number:04x}", ZONES[number % 4], 4.0 * rate / ENDPOINTS)
        world.endpoints[endpoint.name] = endpoint
    for number in range(PROXIES):
        proxy = Proxy(world, number, ZONES[number // 2 % 4], [share * rate / PROXIES for *_, share in LANES])
        near = [each for each in world.endpoints.values() if each.zone == proxy.zone]
        for table in proxy.tables:
            table.update({each.name: 1.0 for each in world.random.sample(near, 5)})
        world.proxies.append(proxy)
    world.pilots = [Pilot(world, "n0"), Pilot(world, "n1")]
    try:
        await world.start()
        await world.until(lambda: len(world.full_since) == PROXIES, "all proxies hold a controller's table")
        await asyncio.sleep(14.0)
        world.spawn(world.watch_lines(5.3, 18.0))
        if TROUBLE:
            world.pilots[0].kill_now()
            await world.pilots[0].start()
        await asyncio.sleep(8.0)
        for first in range(0, ENDPOINTS, 3):
            names = [f"s-{number:04x}" for number in range(first, first + 3)]
            new = [f"t-{number:04x}" for number in range(first, first + 3)]
            for name, old in zip(new, names, strict=True):
                endpoint = Endpoint(name, world.endpoints[old].zone, 4.0 * rate / ENDPOINTS)
                endpoint.up_since_ms = round(time.time() * 1000)
                await world.open_endpoint(endpoint)
            world.publish(*new)
            await asyncio.sleep(STEP_S / 2)
            for name in names:
                world.endpoints[name].phase = "draining"
            world.publish(*names)
            record.write(f"replaced {names} by {new}")
            await asyncio.sleep(STEP_S / 2)
        await asyncio.sleep(14.0)
    finally:
        world.close()
    bare = {proxy for proxy, _ in world.bare}
    record.write(f"{len(bare)} proxies had no server to pick for a class beyond the limit")
    return 1 if bare else 0


if __name__ == "__main__":
    sys.exit(play(case, HERE))
