"""All proxies come to the last of three controllers, and endpoints drain: is the drains' grace kept?"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import LANES, Endpoint, Pilot, Proxy, Record, World, deployment, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["cdmx-norte", "cdmx-sur", "queretaro", "puebla"]
PROXIES, ENDPOINTS, SOCKETS = 240, 30, 256
LINES_PER_S = float(os.environ.get("LINES", 3400))
LATE_S = 0.3

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
    world.pilots = [Pilot(world, "n0"), Pilot(world, "n1"), Pilot(world, "n2")]
    world.sockets = SOCKETS
    try:
        await world.start()
        await world.until(lambda: len(world.full_since) == PROXIES, "all proxies hold a controller's table")
        await asyncio.sleep(14.0)
        if TROUBLE:
            world.pilots[0].kill_now()
            world.pilots[1].kill_now()
        await asyncio.sleep(6.0)
        drained = list(world.endpoints.values())[:3]
        for endpoint in drained:
            endpoint.phase = "draining"
        world.publish(*(endpoint.name for endpoint in drained))
        await asyncio.sleep(10.0)
        if TROUBLE:
            await asyncio.gather(world.pilots[0].start(), world.pilots[1].start())
        await asyncio.sleep(4.0)
    finally:
        world.close()
    late = world.late_sends
    worst = max((each for each, _, _ in late), default=0.0)
    record.write(f"{len(late)} requests sent after the grace, by {len({p for _, p, _ in late})} proxies; {worst:.2f} s")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(play(case, HERE))
