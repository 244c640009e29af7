"""A client of the pilot's port sends what can't be read: one message of 2 kB whose brackets are never closed."""
# ruff: noqa: D103

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

ZONES = ["north", "south", "west", "east"]
CLASSES = {"lookup": "safe", "save": "keyed", "issue": "unsafe"}
SERVED_S, WATCHED_S = 4.0, 6.0
UNREADABLE = b'{"t":"attach","id":' + b"[" * 2000
SETTINGS = {
    "lanes": [
        {
            "name": name, "aim": 1200000, "giveUp": 3000000, "worth": 1.0, "semantics": semantics, "keyScope": "all",
            "repeatWindow": 2000000,
        }
        for name, semantics in CLASSES.items()
    ],
    "zones": ZONES, "az": ZONES[0], "tick": 4000, "discovery": "pushed", "family": "control", "peersTotal": 1, "me": 0,
    "allowed": {"probing": True, "dialTimeout": 250000}, "stats": {"how": "probe", "columns": ["util"]},
    "rules": {
        "stopSendingWithin": 3000000, "startCapacity": 0.15, "warmAfter": 18000000, "fallMultiple": 3.0,
        "tipAfter": 1500000,
    },
    "specifics": {
        "admission": "rate", "bare": 5300000, "baseMode": 1, "channelRate": 3500.0, "perMessage": 6.0,
        "mostWaiting": 5300.0, "pushesAllowed": 20, "messagesOver": 10000000, "reportEvery": 1000000, "late": 105000,
        "lateMost": 262500, "ejects": 5, "standing": 5, "tryFactor": 0.8, "slices": 0,
        "homeOnly": [False, False, False], "dataPlaneSize": 12,
    },
}  # fmt: skip


async def bad_client(record, address):
    """Send one message that can't be read; wait for the close or the `reject` that it is owed within 3 s."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(standins.frame(UNREADABLE))
    record.write(f"bad client sent {4 + len(UNREADABLE)} bytes: {UNREADABLE[:30]!r}...")
    try:
        answer = await asyncio.wait_for(reader.read(100), 3.0)
        record.write(f"bad client got {answer or 'a close'!r}")
    except (TimeoutError, ConnectionError) as error:
        record.write(f"bad client got {type(error).__name__}")
    writer.close()


async def case(record, folder, has_trouble):
    chance = random.Random(1)
    endpoints = [standins.Endpoint(f"s-{number:02}", ZONES[number % 4]) for number in range(20)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = standins.Discovery(record, endpoints)
    await discovery.start()
    pilot = standins.Pilot(record, folder, discovery.address, SETTINGS, discovery.document())
    tasks = []
    try:
        await pilot.start()
        for number in range(12):
            zone = ZONES[number % 4]
            initial = chance.sample([each.name for each in endpoints if each.zone == zone], 5)
            proxy = standins.Proxy(record, number, zone, CLASSES, initial, dict.fromkeys(CLASSES, 6.0))
            tasks.append(asyncio.create_task(proxy.run(pilot.address)))
        await asyncio.sleep(SERVED_S)
        if has_trouble:
            await bad_client(record, pilot.address)
        await asyncio.sleep(WATCHED_S)
        status = pilot.process.returncode
        answers = await pilot.answers(3.0)
        record.write(f"pilot's status: {status}, answers a sign of life: {answers}")
        return status is None and answers, f"exit status of the pilot {status}, answers hb: {answers}"
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await pilot.stop()


if __name__ == "__main__":
    standins.play(Path(__file__).parent, case)
