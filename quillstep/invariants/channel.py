"""Rule: the queue of a controller's update channel and the messages to each proxy stay within the settings."""

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from quillstep.invariants.evidence import Evidence
from quillstep.invariants.violation import Rule, Violation


@dataclass(slots=True)
class ChannelMessage:
    """One update to one proxy: all responses, of every resource type, that carry it."""

    proxy: str
    queued_ms: float
    sent_ms: float  # when the first response was sent
    lines: float


class QueuePeak(NamedTuple):
    """The largest number of lines queued at the same time, and when."""

    lines: float
    at_ms: float


def exceeded_channel_limits(evidence: Evidence) -> Iterator[Violation]:
    """Finds controllers whose queue was too long, and proxies that got too many messages within one window."""
    max_lines = evidence.fleet.channel.max_queued_lines
    for controller, messages in channel_messages(evidence).items():
        peak = queue_peak(messages)
        if peak.lines > max_lines:
            text = f"{peak.lines:.0f} lines were queued at {controller}, {max_lines:.0f} allowed"
            yield Violation(Rule.CHANNEL_LIMIT, peak.at_ms, text)
        if evidence.fleet.channel.max_messages:
            yield from exceeded_message_quotas(evidence, controller, messages)


def exceeded_message_quotas(evidence: Evidence, controller: str, messages: list[ChannelMessage]) -> Iterator[Violation]:
    """Finds proxies that got more messages from one controller within one window than allowed."""
    channel = evidence.fleet.channel
    windows: dict[str, deque[float]] = defaultdict(deque)
    for message in sorted(messages, key=lambda message: message.sent_ms):
        window = windows[message.proxy]
        window.append(message.sent_ms)
        while window[0] <= message.sent_ms - channel.message_window_ms:
            window.popleft()
        if len(window) > channel.max_messages:
            text = (
                f"{len(window)} messages within {channel.message_window_ms:.0f} ms from {controller}, "
                f"{channel.max_messages} allowed"
            )
            yield Violation(Rule.CHANNEL_LIMIT, message.sent_ms, text, message.proxy)
            window.clear()


def channel_messages(evidence: Evidence) -> dict[str, list[ChannelMessage]]:
    """Returns the messages by controller incarnation; update numbers start again at each connection of a proxy."""
    overhead = evidence.fleet.channel.lines_per_message
    connections: dict[str, int] = defaultdict(int)
    messages: dict[str, dict[tuple[str, int, int], ChannelMessage]] = defaultdict(dict)
    for row in evidence.channel_rows:
        if row["what"] == "join":
            connections[row["proxy"]] += 1
        if row["what"] != "send":
            continue
        proxy = row["proxy"]
        incarnation = row["nonce"].rpartition(".")[0]
        key = (proxy, connections[proxy], row["order"])
        first = ChannelMessage(proxy, row["ordered"], row["at"], overhead)
        messages[incarnation].setdefault(key, first).lines += row["lines"]
    return {incarnation: list(by_key.values()) for incarnation, by_key in messages.items()}


def queue_peak(messages: list[ChannelMessage]) -> QueuePeak:
    """Returns the longest queue; a message that was sent at once was never queued."""
    queued = [message for message in messages if message.sent_ms > message.queued_ms]
    changes = [(message.queued_ms, message.lines) for message in queued]
    changes += [(message.sent_ms, -message.lines) for message in queued]
    peak, lines = QueuePeak(0.0, 0.0), 0.0
    for at_ms, change in sorted(changes):
        lines += change
        if lines > peak.lines:
            peak = QueuePeak(lines, at_ms)
    return peak


def longest_queue(evidence: Evidence) -> float:
    """Returns the largest number of lines queued at the same time in any controller's channel."""
    return max((queue_peak(messages).lines for messages in channel_messages(evidence).values()), default=0.0)
