"""Seeded runs of real controllers and a fleet under load, whose endpoints fail if they are overloaded while warming up.

Built on the stand-ins in `review/standins2.py`: discovery, proxies and channels over TCP, as the protocol page has
them.  Drawn by the seed: the fleet's size and load, how capacity grows after a start, how proxies pick endpoints,
crashes, a release in groups, kills and planned restarts of controllers, signals in series, and a crowd.
"""

import asyncio
import contextlib
import random
import signal
import socket
import time
from collections import deque
from dataclasses import dataclass, field

from review.standins2 import HOST, LANES, SLACK_S, Endpoint, Pilot, Proxy, Record, World, deployment

ZONES = ["cdmx-norte", "cdmx-sur", "queretaro", "puebla"]
ENDPOINTS, GROUP, GROUP_INTERVAL_S = 30, 5, 2.41
CAPACITY_PER_S = 17.0
WARM_UP_S, INITIAL_CAPACITY, OVERLOAD_MULTIPLE, TIP_S, GRACE_S = 18.0, 0.15, 3.0, 1.5, 3.0
CHANCE_SLACK = 1.1  # "with a little slack for chance"
BARE_LIMIT_S = 5.3
LINES_PER_S, LINES_PER_MESSAGE, UPDATE_DELAY_S = 3400.0, 6.0, 0.2
MAX_QUEUED_LINES = 1.5 * LINES_PER_S
MAX_MESSAGES, MESSAGE_WINDOW_S = 20, 10.0
DRAINED_S, DOWN_S = 3.5, 3.9  # a restarted endpoint drains, and is then down
KNOWING_SHARE = 2.0 / 3.0  # of the requests that overload an endpoint, if the rule is to count as broken
LONG_AGO_S = -1e9


@dataclass
class Plan:
    """What happens in one run; times are seconds since the controllers were ready."""

    seed: int
    proxies: int = 150
    load: float = 0.6
    cold_from: float = 0.2  # true capacity right after a start
    cold_s: float = 16.0  # time until the capacity is complete
    growth: float = 1.0  # exponent of the growth: 1 is even, above 1 late
    pick: str = "fresh_credit"
    released: int = ENDPOINTS
    release_at_s: float = 12.0
    crash_at_s: float | None = None
    crashed: int = 0
    kills: list = field(default_factory=list)  # time, index of the controller, whether planned
    hangups_at_s: list = field(default_factory=list)  # SIGHUP in series
    crowds_at_s: list = field(default_factory=list)
    length_s: float = 46.0

    @classmethod
    def drawn(cls, seed):
        """Draws a run from a seed."""
        draw = random.Random(f"loaded fleet {seed}")
        plan = cls(
            seed,
            proxies=draw.choice([40, 150, 150, 240]),
            load=draw.uniform(0.45, 0.68),
            cold_from=draw.uniform(0.15, 0.5),
            cold_s=draw.uniform(5.7, 18.0),
            pick=draw.choice(["fresh_credit", "kept_credit", "random"]),
            released=draw.choice([15, 20, 25, 30, 30]),
            release_at_s=draw.uniform(11.0, 14.0),
        )
        if draw.random() < 0.5:
            plan.crash_at_s, plan.crashed = draw.uniform(2.0, 5.0), draw.choice([4, 8, 14])
        for _ in range(draw.choice([0, 1, 1, 2])):
            plan.kills.append((draw.uniform(8.0, 30.0), draw.randrange(2), draw.random() < 0.4))
        plan.hangups_at_s = [draw.uniform(5.0, 35.0) for _ in range(draw.choice([0, 0, 1, 2]))]
        plan.crowds_at_s = [draw.uniform(5.0, 35.0) for _ in range(draw.choice([0, 0, 1]))]
        return plan


def fleet_settings(proxies):
    rules = {
        "stopSendingWithin": int(GRACE_S * 1e6), "warmAfter": int(WARM_UP_S * 1e6), "fallMultiple": OVERLOAD_MULTIPLE,
        "startCapacity": INITIAL_CAPACITY, "fullMayHaveRun": True,
    }  # fmt: skip
    specifics = {
        "admission": "rate", "bare": int(BARE_LIMIT_S * 1e6), "baseMode": 1, "channelRate": LINES_PER_S,
        "perMessage": LINES_PER_MESSAGE, "mostWaiting": MAX_QUEUED_LINES, "pushesAllowed": MAX_MESSAGES,
        "late": int(UPDATE_DELAY_S * 1e6), "lateMost": int(2.5 * UPDATE_DELAY_S * 1e6), "dataPlaneSize": proxies,
    }  # fmt: skip
    return deployment(ZONES, LANES, rules, specifics, {"how": "probe", "columns": ["util"]})


class WarmingEndpoint(Endpoint):
    """An endpoint whose capacity grows after a start; it fails for good if it is overloaded meanwhile."""

    def __init__(self, name, zone, capacity_per_s, plan):
        super().__init__(name, zone, capacity_per_s)
        self.full_capacity_per_s, self.plan = capacity_per_s, plan
        self.started_s = self.down_until_s = LONG_AGO_S
        self.has_failed = False
        self.told_s = {}  # by controller: when it was told of the present start
        self.recent = deque()  # time, and whether the proxy or its controller knew of the start
        self.worst_multiple = 0.0

    def fraction(self, now_s):
        age_share = max(0.0, now_s - self.started_s) / self.plan.cold_s
        return min(1.0, self.plan.cold_from + (1.0 - self.plan.cold_from) * age_share**self.plan.growth)

    def is_down(self, now_s):
        return self.has_failed or now_s < self.down_until_s

    def util(self):
        self.capacity_per_s = self.full_capacity_per_s * self.fraction(time.monotonic())
        return super().util()

    def take_request(self, now):
        return not self.is_down(now) and super().take_request(now)

    async def serve(self, reader, writer):
        if self.is_down(time.monotonic()):
            writer.close()
        else:
            await super().serve(reader, writer)

    def restart(self, down_s):
        self.started_s = self.down_until_s = time.monotonic() + down_s
        self.told_s, self.has_failed = {}, False
        self.recent.clear()

    def overload(self, now_s, is_known):
        """Counts a request; returns the multiple of the present capacity at which the endpoint fails, or None."""
        if self.is_down(now_s) or self.fraction(now_s) >= 1.0:
            return None
        self.recent.append((now_s, is_known))
        while self.recent[0][0] < now_s - TIP_S:
            self.recent.popleft()
        multiple = len(self.recent) / (TIP_S * self.full_capacity_per_s * self.fraction(now_s))
        self.worst_multiple = max(self.worst_multiple, multiple)
        if multiple <= OVERLOAD_MULTIPLE * CHANCE_SLACK:
            return None
        self.has_failed = True
        return multiple

    def known_share(self):
        return sum(is_known for _, is_known in self.recent) / len(self.recent)


class PickingProxy(Proxy):
    """A proxy that picks evenly by weight: at random, or by smooth weighted round robin.

    An endpoint that was out of the table returns with the credit that it had left with, or with a fresh one.
    """

    def pick(self, index):
        lines = {name: weight for name, weight in self.tables[index].items() if name not in self.ejected}
        now_s, credits = time.monotonic(), self.credits[index]
        if self.world.plan.pick != "kept_credit":
            for name in credits.keys() - lines.keys():
                del credits[name]
        lines = {name: w for name, w in lines.items() if self.avoided_until.get(name, 0.0) < now_s} or lines
        if not lines:
            return None
        if self.world.plan.pick == "random":
            return self.world.random.choices(list(lines), list(lines.values()))[0]
        total = sum(lines.values())
        for name, weight in lines.items():
            if name not in credits:
                credits[name] = (self.world.random.random() - 0.5) * total
            credits[name] += weight
        best = max(lines, key=credits.__getitem__)
        credits[best] -= total
        return best


class LoadedFleet(World):
    """The stand-ins of one run, and the rules that they check."""

    def __init__(self, record, plan):
        super().__init__(
            record, fleet_settings(plan.proxies), plan.seed,
            lines_per_s=LINES_PER_S, per_message=LINES_PER_MESSAGE, late_s=UPDATE_DELAY_S,
        )  # fmt: skip
        self.plan, self.violations, self.last_written_s = plan, [], {}
        self.message_times, self.most_queued = {}, 0.0
        rate = plan.load * CAPACITY_PER_S * ENDPOINTS
        for number in range(ENDPOINTS):
            capacity = CAPACITY_PER_S * self.random.uniform(0.85, 1.15)
            self.endpoints[f"s-{number:04x}"] = WarmingEndpoint(f"s-{number:04x}", ZONES[number % 4], capacity, plan)
        sizes = [self.random.lognormvariate(0.0, 0.7) for _ in range(plan.proxies)]
        for number, size in enumerate(sizes):
            rates = [share * rate * size / sum(sizes) for *_, share in LANES]
            proxy = PickingProxy(self, number, ZONES[number // 2 % 4], rates)
            near = [name for name, endpoint in self.endpoints.items() if endpoint.zone == proxy.zone]
            for table in proxy.tables:
                table.update(dict.fromkeys(self.random.sample(near, 5), 1.0))
            self.proxies.append(proxy)
        self.pilots = [Pilot(self, "n0"), Pilot(self, "n1")]
        self.on_request, self.on_message = self.count_request, self.count_message

    def violate(self, text):
        self.violations.append(f"{time.monotonic() - self.ready_s:.2f} s {text}")
        self.record.write(text)

    def count_request(self, proxy, endpoint, now_s):
        told_s = endpoint.told_s.get(proxy.pilot.name if proxy.pilot else None, float("inf"))
        is_known = now_s > told_s + GRACE_S + SLACK_S or self.last_written_s.get(proxy.number, LONG_AGO_S) > told_s
        multiple = endpoint.overload(now_s, is_known)
        if multiple is None:
            return
        text = f"overload: {endpoint.name}, {now_s - endpoint.started_s:.1f} s after its start, {multiple:.1f} times"
        if endpoint.known_share() >= KNOWING_SHARE:
            self.violate(text)
        else:
            self.record.write(f"{text}, by proxies whose controllers did not know of the start")

    def count_message(self, proxy, pilot, parts):
        now_s = time.monotonic()
        self.last_written_s[proxy.number] = now_s
        times = self.message_times.setdefault((proxy.number, proxy.joined_s), deque())
        times.append(now_s)
        while times[0] < now_s - MESSAGE_WINDOW_S:
            times.popleft()
        if len(times) > MAX_MESSAGES:
            self.violate(f"messages: {len(times)} to proxy {proxy.number} in {MESSAGE_WINDOW_S} s")
        if pilot.channel.most > max(MAX_QUEUED_LINES, self.most_queued):
            self.most_queued = pilot.channel.most
            self.violate(f"queue: {self.most_queued:.0f} lines wait")

    # Faults

    def list_changes(self, names):
        for name in names:
            if self.endpoints[name].phase == "ready":
                now_s = time.monotonic()
                self.endpoints[name].told_s = {pilot.name: now_s for pilot in self.pilots}
        self.publish(*names)

    async def stop_endpoints(self, names, down_s, notice_s):
        """Endpoints answer nothing for a while, and are listed as started some time after their start."""
        for name in names:
            self.endpoints[name].restart(down_s)
        await asyncio.sleep(down_s)
        for name in names:
            self.endpoints[name].phase, self.endpoints[name].up_since_ms = "ready", round(time.time() * 1000)
            for pilot in self.pilots:
                pilot.told.pop(name, None)  # of its drain
        await asyncio.sleep(notice_s)
        self.record.write(f"started: {names}")
        self.list_changes(names)

    async def restart_endpoints(self, names, notice_s):
        for name in names:
            self.endpoints[name].phase = "draining"
        self.record.write(f"draining: {names}")
        self.list_changes(names)
        await asyncio.sleep(DRAINED_S)
        await self.stop_endpoints(names, DOWN_S, notice_s)

    async def release(self):
        await self.at(self.plan.release_at_s)
        names = self.random.sample(sorted(self.endpoints), self.plan.released)
        for first in range(0, len(names), GROUP):
            await self.at(self.plan.release_at_s + GROUP_INTERVAL_S * first / GROUP)
            self.spawn(self.restart_endpoints(names[first : first + GROUP], self.random.uniform(0.2, 0.6)))

    async def crash(self):
        await self.at(self.plan.crash_at_s)
        names = self.random.sample(sorted(self.endpoints), self.plan.crashed)
        await self.stop_endpoints(names, 4.0, 1.0)

    async def restart_controller(self, at_s, index, is_planned):
        await self.at(at_s)
        pilot = self.pilots[index]
        if not all(each.is_open for each in self.pilots):
            return  # one is down already
        if is_planned:
            pilot.signal(signal.SIGHUP)
            await pilot.stop()
        else:
            pilot.kill_now()
        await asyncio.sleep(0.7)
        await pilot.start()
        await asyncio.sleep(1.0)
        for proxy in self.random.sample(self.proxies, len(self.proxies)):
            if proxy.number % 2 == index and proxy.writer:
                proxy.left = self.pilots[1 - index]
                proxy.writer.close()
            await asyncio.sleep(13.0 / len(self.proxies))

    async def hang_up(self, at_s):
        await self.at(at_s)
        for _ in range(self.random.randint(1, 6)):
            for pilot in self.pilots:
                if pilot.is_open:
                    pilot.signal(signal.SIGHUP)
            await asyncio.sleep(0.01)

    async def crowd(self, at_s):
        await self.at(at_s)
        connections = []
        for _ in range(100):
            with contextlib.suppress(OSError):
                connections.append(socket.create_connection((HOST, self.pilots[0].port), 0.1))
        await asyncio.sleep(0.5)
        for connection in connections:
            connection.close()

    async def _forward(self, pilot, zone, writer):
        try:
            await super()._forward(pilot, zone, writer)
        finally:
            writer.close()

    async def end(self):
        """Ends all processes, and closes the connections while their event loop still runs."""
        self.close()
        for proxy in self.proxies:
            if proxy.writer:
                proxy.writer.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.sleep(0.1)

    async def at(self, seconds):
        await asyncio.sleep(max(0.0, self.ready_s + seconds - time.monotonic()))

    async def run(self):
        """Plays the plan, and returns the violations of the rules."""
        plan = self.plan
        try:
            await self.start()
            self.ready_s = time.monotonic()
            self.spawn(self.watch_lines(BARE_LIMIT_S, WARM_UP_S))
            self.spawn(self.release())
            if plan.crash_at_s is not None:
                self.spawn(self.crash())
            for kill in plan.kills:
                self.spawn(self.restart_controller(*kill))
            for at_s in plan.hangups_at_s:
                self.spawn(self.hang_up(at_s))
            for at_s in plan.crowds_at_s:
                self.spawn(self.crowd(at_s))
            await self.at(plan.length_s)
            for pilot in self.pilots:
                if pilot.is_open and pilot.process.poll() is not None:
                    self.violate(f"{pilot.name} ended with status {pilot.process.poll()}")
        finally:
            await self.end()
        self.violations += [f"drain: {late:.2f} s late, proxy {proxy}, {name}" for late, proxy, name in self.late_sends]
        self.violations += [f"bare: proxy {proxy}, class {index}" for proxy, index in self.bare]
        return self.violations


def play(folder, plan):
    """Runs a plan; returns its violations."""
    record = Record(folder / "record.txt")

    async def run():
        return await LoadedFleet(record, plan).run()

    return asyncio.run(run())
