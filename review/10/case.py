"""All proxies have come to one of two controllers, and a release drains six in ten endpoints: is the grace kept?"""

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
PROXIES, ENDPOINTS, DRAINED = 440, 60, 36
LINES_PER_S, MOST_WAITING = 3600.0, 15400.0
LATE_S, GRACE_S = 0.4, 6.3

SETTINGS = deployment(
    ZONES,
    LANES,
    {"stopSendingWithin": round(GRACE_S * 1e6), "warmAfter": 18000000, "fallMultiple": 3.0, "fullMayHaveRun": True},
    {
        "admission": "rate",
        "bare": 10700000,
        "baseMode": 1,
        "channelRate": LINES_PER_S,
        "perMessage": 6.0,
        "mostWaiting": MOST_WAITING,
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
    rate = 440.0  # requests a second in all; the endpoints do four times as many
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
        if TROUBLE:
            world.pilots[0].kill_now()
            await world.pilots[0].start()
        await asyncio.sleep(20.0)  # long enough for all proxies to have the calendar
        drained = list(world.endpoints.values())[:DRAINED]
        new = []
        for old in drained:
            endpoint = Endpoint(f"t{old.name[1:]}", old.zone, old.capacity_per_s)
            endpoint.up_since_ms = round(time.time() * 1000)
            await world.open_endpoint(endpoint)
            new.append(endpoint.name)
        world.publish(*new)
        await asyncio.sleep(2.0)
        for endpoint in drained:
            endpoint.phase = "draining"
        world.publish(*(endpoint.name for endpoint in drained))
        await asyncio.sleep(16.0)
    finally:
        world.close()
    late = world.late_sends
    worst = max((each for each, _, _ in late), default=0.0)
    record.write(f"{len(late)} requests sent after the grace, by {len({p for _, p, _ in late})} proxies; {worst:.2f} s")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(play(case, HERE))
