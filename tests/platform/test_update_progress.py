"""Each kind of update reaches the platform's proxies: the planner behind a channel of the updates that are encoded."""

from random import Random

import pytest
from fleet_updates import KINDS, Deployment, settled_fleet, time_to_publish
from planner_harness import ChannelModel

from quillstep.platform.protocol.codec import MessageCodec
from quillstep.platform.protocol.updates import ProtocolOutput

CLASS_NAMES = ["lookup", "unsafe", "keyed"]
APPLIED_CALLS = ("set_weight", "set_ejected", "assign_table", "set_admission", "request_ack")
MAX_MESSAGE_BYTES = 2**20
MAX_WAIT_S = 120.0
COMPETING = ((), ("weights",), ("joins",), ("drains",))


class PlatformChannel(ChannelModel):
    """A channel whose messages are the platform's updates; only proxies that get one acknowledge it."""

    def __init__(self, harness, rate_factor, ack_delay_ms=0.0):
        self.output = ProtocolOutput(CLASS_NAMES, lambda endpoint: None, lambda token, at_ms: None, lambda text: None)
        self.codec = MessageCodec(MAX_MESSAGE_BYTES)
        super().__init__(harness, rate_factor, ack_delay_ms)

    def _reset_stream(self, proxy):
        super()._reset_stream(proxy)
        self.output.add_proxy(proxy)

    def enqueue(self, written):
        """Queues the updates of one run of the planner."""
        for name, *arguments in written:
            if name in APPLIED_CALLS:
                getattr(self.output, name)(*arguments)
        assigned = {call[1] for call in written if call[0] == "assign_table"}
        for proxy, update in self.output.flush():
            parts = self.codec.receive(update)
            lines = self.harness.config.lines_per_message + sum(map(lines_of, parts))
            self.queue.append([lines, written[-1][1], proxy, proxy in assigned])
            self.message_times.setdefault(proxy, []).append(self.harness.now_ms)
        self.max_queued_lines = max(self.max_queued_lines, sum(lines for lines, *_ in self.queue))


def lines_of(part):
    """Returns the lines that a part of an update counts as in the channel."""
    changes = sum(len(part.get(name, ())) for name in ("endpoints", "eject", "restore"))
    return changes + sum(name in part for name in ("full", "admit", "nonce_out"))


DEPLOYMENTS = [
    Deployment(proxies=34, endpoints=10, lines_per_s=680.0, queued_s=1.5, drain_grace_ms=1500.0),
    Deployment(proxies=78, endpoints=10, lines_per_s=680.0, queued_s=1.0, has_zone_tables=True),
    Deployment(proxies=100, endpoints=10, lines_per_s=680.0, queued_s=1.0),  # no update reaches all at one time
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=["short", "one-line", "oversized"])
def test_each_kind_of_update_reaches_the_proxies_of_the_platform(deployment, kind):
    # Guards against limits, and acks that never come, which keep a kind of update back for good on this front.
    competing = Random(kind + str(deployment)).choice(COMPETING)
    fleet = settled_fleet(deployment, channel_type=PlatformChannel)
    fleet.competing = set(competing)
    assert time_to_publish(fleet, kind, MAX_WAIT_S) is not None, f"{kind} beside {competing}"
    assert not fleet.exceeds_limits()
