"""A channel whose messages are the updates that the platform's controller encodes."""

from planner_harness import ChannelModel

from quillstep.platform.protocol.codec import MessageCodec
from quillstep.platform.protocol.updates import ProtocolOutput

CLASS_NAMES = ["lookup", "unsafe", "keyed"]
APPLIED_CALLS = ("set_weight", "set_ejected", "assign_table", "set_admission", "request_ack")
MAX_MESSAGE_BYTES = 2**20


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
