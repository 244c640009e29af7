"""A fleet whose channel delivers messages: how late each proxy stops using an endpoint that drains."""

from collections import deque

from fleet_updates import STEP_MS, Fleet, settled_fleet
from planner_harness import ChannelModel

DELIVERY_STEP_MS = 20.0


class DeliveryChannel(ChannelModel):
    """A channel that tracks which endpoints each proxy may use once a message has taken effect there.

    A proxy that has not been assigned a table since it joined may use any endpoint that it was not told to eject.
    """

    def __init__(self, harness, rate_factor, ack_delay_ms=0.0):
        self.usable = {}  # by proxy; None: any endpoint but those in `ejected`
        self.ejected = {}  # endpoints ejected at a proxy without a table, by proxy
        self._written = {}  # per proxy, the usable endpoints after each message that has not left the channel
        self._effects = []  # (due time, proxy, usable endpoints, ejected endpoints)
        super().__init__(harness, rate_factor, ack_delay_ms)

    def observe(self, after, **observations):
        written = super().observe(after, **observations)
        now_ms = self.harness.now_ms
        for due_ms, proxy, usable, ejected in self._effects:
            if due_ms <= now_ms:
                self.usable[proxy], self.ejected[proxy] = usable, ejected
        self._effects = [effect for effect in self._effects if effect[0] > now_ms]
        return written

    def may_use(self, proxy, endpoint):
        """Whether a proxy may still send to an endpoint."""
        usable = self.usable.get(proxy)
        return endpoint not in self.ejected.get(proxy, ()) if usable is None else endpoint in usable

    def _send(self, after, now_ms):
        acks_before = len(self.acks)
        super()._send(after, now_ms)
        for due_ms, _, proxy in self.acks[acks_before:]:
            self._effects.append((due_ms, proxy, *self._written[proxy].popleft()))

    def _reset_stream(self, proxy):
        super()._reset_stream(proxy)
        self._written.pop(proxy, None)
        self._effects = [effect for effect in self._effects if effect[1] != proxy]
        self.usable[proxy], self.ejected[proxy] = None, frozenset()

    def enqueue(self, written):
        queued_before = len(self.queue)
        super().enqueue(written)
        for _, _, proxy, _ in self.queue[queued_before:]:
            self._written.setdefault(proxy, deque()).append(self.state_after(proxy, written))

    def state_after(self, proxy, written):
        """Returns a proxy's usable and ejected endpoints once it has applied what was just written."""
        tables = set(self.proxy_tables.get(proxy, {}).values())
        if not tables:
            ejections = {call[1] for call in written if call[0] == "set_ejected" and call[2]}
            return None, self._last_ejected(proxy) | ejections
        held = set().union(*(self.table_endpoints[table] for table in tables))
        return frozenset(held - self.harness.fleet.ejected_endpoints()), frozenset()

    def _last_ejected(self, proxy):
        waiting = self._written.get(proxy)
        if waiting:
            return waiting[-1][1]
        sent = [effect[3] for effect in self._effects if effect[1] == proxy]
        return sent[-1] if sent else self.ejected.get(proxy, frozenset())


class DrainFleet(Fleet):
    """A fleet in which endpoints drain; `late_ms` holds how long after its grace each was still used."""

    def __init__(self, *args, **options):
        self.told_ms, self.late_ms, self.joined_ms = {}, {}, {}
        super().__init__(*args, **options)

    def drain(self, *numbers):
        """Tells the planner in the next step that endpoints drain."""
        self.change(*(self.entry(number, "terminating") for number in numbers))

    def rejoin(self, *proxies):
        """Opens new streams of proxies that hold another controller's tables."""
        self.streams += [self.stream(proxy) for proxy in proxies]

    def step(self):
        """Plays one step, in which acks arrive and messages take effect at any time."""
        self.steps += 1
        self._compete()
        lists, self.lists = self.lists, []
        streams, self.streams = self.streams, []
        now_ms = self.harness.now_ms + DELIVERY_STEP_MS
        self.joined_ms.update({stream[0]: now_ms for stream in streams})
        entries = [entry for _, rows in lists for entry in rows]
        for entry in entries:
            if entry.state != "in_service":
                self.told_ms.setdefault(entry.endpoint, now_ms)
        self.channel.observe(DELIVERY_STEP_MS, endpoint_lists=lists, proxy_streams=streams)
        self._check()
        for _ in range(int(STEP_MS / DELIVERY_STEP_MS) - 1):
            self.channel.observe(DELIVERY_STEP_MS)
            self._check()

    def _check(self):
        now_ms, grace_ms = self.harness.now_ms, self.deployment.drain_grace_ms
        for endpoint, told_ms in self.told_ms.items():
            if now_ms <= told_ms + grace_ms:
                continue
            for proxy, joined_ms in self.joined_ms.items():
                late_ms = now_ms - max(told_ms, joined_ms) - grace_ms
                if late_ms > 0.0 and self.channel.may_use(proxy, endpoint):
                    self.late_ms[endpoint] = max(late_ms, self.late_ms.get(endpoint, 0.0))

    def play(self, seconds):
        """Plays some seconds."""
        for _ in range(int(1000.0 * seconds / STEP_MS)):
            self.step()

    @property
    def latest_ms(self):
        """How long after its grace the last endpoint was still used; 0 if none was."""
        return max(self.late_ms.values(), default=0.0)


def settled_drain_fleet(deployment, seed=1, channel_type=DeliveryChannel):
    """Returns a fleet whose proxies have the calendar, and whose channel is empty."""
    return settled_fleet(deployment, seed, channel_type=channel_type, fleet_type=DrainFleet)
