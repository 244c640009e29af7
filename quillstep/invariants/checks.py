"""Judges the five rules; each break says which exchange, proxy, endpoint and moment.

Free of I/O: works on an `Evidence`.  Times are milliseconds.
"""

from collections import defaultdict, deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from quillstep.invariants.evidence import Evidence

BARE, TWICE, DRAIN, COLD, QUEUE = "bare", "twice", "drain", "cold", "queue"
SLACK = 1.1  # for chance, in a cold endpoint's budget
KNOWING = 2.0 / 3.0  # of the work that pushes, for the break to be the pilots'
NEVER_RAN = "no connection"


class Break(NamedTuple):
    """One broken rule."""

    rule: str
    at_ms: float
    text: str
    proxy: str = ""
    endpoint: int = 0
    exchange: str = ""


def judge(evidence: Evidence) -> list[Break]:
    """All breaks, in time."""
    checks = (left_bare, ran_twice, sent_to_drained, pushed_over, queue_too_long)
    return sorted((found for check in checks for found in check(evidence)), key=lambda found: found.at_ms)


def left_bare(evidence: Evidence) -> Iterator[Break]:
    """A joined proxy had no line to pick for a class for longer than allowed, while one was listed and warm."""
    joined, listed, excused = evidence.joined(), evidence.listed(), evidence.excused()
    rules = evidence.fleet.rules
    home_zone_only = {row.name for row in evidence.fleet.classes if row.home_zone_only}
    since: dict[tuple[str, str], float] = {}
    spans: list[tuple[str, str, float, float]] = []
    for row in evidence.bare:
        key = (row["proxy"], row["class"])
        if row["on"]:
            since[key] = row["at"]
        elif key in since:
            spans.append((*key, since.pop(key), row["at"]))
    spans += [(*key, at, evidence.end_ms) for key, at in since.items()]
    for proxy, name, begin, end in spans:
        zone = evidence.homes.get(proxy) if name in home_zone_only else None
        for up, down, pilot in joined.get(proxy, ()):
            a, b = max(begin, up), min(end, down)
            if b - a <= rules.no_endpoint_grace_ms or any(s < b and e > a for s, e in excused.get(proxy, ())):
                continue
            for (told, endpoint), history in listed.items():
                if told != pilot or (zone and evidence.zones.get(endpoint) != zone):
                    continue
                if ready(history, a, rules.warm_up_ms) and ready(history, b, rules.warm_up_ms):
                    text = f"no line to pick for {name} for {b - a:.0f} ms, {endpoint} listed ready and warm"
                    yield Break(BARE, a + rules.no_endpoint_grace_ms, text, proxy, endpoint)
                    break


def ready(history: Any, at: float, warm_up_ms: float) -> bool:
    found = history.at(at)
    return bool(found and found[0] == "in_service" and (not found[1] or at - found[1] >= warm_up_ms))


def ran_twice(evidence: Evidence) -> Iterator[Break]:
    """A proxy resent what may have run, beyond what its class allows; or an effect was seen twice."""
    classes = {row.name: row for row in evidence.fleet.classes}
    tightened = {row["kind"]: row["at"] for row in evidence.commands if row["do"] == "tighten"}
    for row in evidence.exchanges:
        kind = classes[row["class"]]
        if kind.semantics == "safe" or len(row["tries"]) < 2:
            continue
        unsafe_from = float("-inf") if kind.semantics == "unsafe" else tightened.get(kind.name, float("inf"))
        may_have_run: tuple[float, str] | None = None
        for address, sent, _, result, _ in row["tries"]:
            if may_have_run:
                endpoint = evidence.addresses.get(address, 0)
                zone = evidence.zones.get(endpoint, "")
                in_time = sent - may_have_run[0] <= kind.idempotency_window_ms
                in_group = kind.idempotency_scope == "all" or zone == may_have_run[1]
                if sent >= unsafe_from or not in_time or not in_group:
                    text = f"{kind.name} sent again {sent - may_have_run[0]:.0f} ms after a try that may have run"
                    yield Break(TWICE, sent, text, row["proxy"], endpoint, row["exchange"])
            if result != NEVER_RAN and not may_have_run:
                zone = evidence.zones.get(evidence.addresses.get(address, 0), "")
                may_have_run = (sent, zone)
    effects: dict[str, dict[str, Any]] = {}
    for row in evidence.served:
        if not row["effect"] or classes[row["class"]].semantics == "safe":
            continue
        before = effects.setdefault(row["exchange"], row)
        if before is not row:
            text = f"{row['class']} took effect at {before['endpoint']} and {row['at'] - before['at']:.0f} ms later"
            yield Break(TWICE, row["at"], text, row["proxy"], row["endpoint"], row["exchange"])


def sent_to_drained(evidence: Evidence) -> Iterator[Break]:
    """A joined proxy began a try at an endpoint later than the grace after its pilot was told it drains or is gone."""
    grace = evidence.fleet.rules.drain_grace_ms
    for row, try_row, told_ms, up_ms, endpoint in late_tries(evidence):
        sent = try_row[1]
        over = sent - max(told_ms, up_ms) - grace
        if over > 0:
            text = f"{row['class']} sent {grace + over:.0f} ms after the news, {grace:.0f} allowed"
            yield Break(DRAIN, sent, text, row["proxy"], endpoint, row["exchange"])


def late_tries(evidence: Evidence) -> Iterator[tuple[dict, list, float, float, int]]:
    """Tries of joined proxies at endpoints that their pilot had been told are draining or gone."""
    joined, listed, excused = evidence.joined(), evidence.listed(), evidence.excused()
    for row in evidence.exchanges:
        proxy = row["proxy"]
        for found in row["tries"]:
            sent = found[1]
            endpoint = evidence.addresses.get(found[0])
            span = next((s for s in joined.get(proxy, ()) if s[0] <= sent < s[1]), None)
            history = listed.get((span[2], endpoint)) if span and endpoint is not None else None
            state = history.at(sent) if history else None
            if not span or not state or state[0] == "in_service" or endpoint is None:
                continue
            since = max(state[2], span[0])
            # Time that the script kept the proxy from reading does not count; the grace runs from its end.
            kept = [min(end, sent) for begin, end in excused.get(proxy, ()) if begin <= sent and end >= since]
            yield row, found, state[2], max([span[0], *kept]), endpoint


def pushed_over(evidence: Evidence) -> Iterator[Break]:
    """A cold endpoint got more than its budget in some span, two thirds of it from proxies whose pilot knew."""
    rules = evidence.fleet.rules
    joined, listed = evidence.joined(), evidence.listed()
    work: dict[int, list[dict]] = defaultdict(list)
    for row in evidence.served:
        if row["outcome"] in ("run", "fell", "silent"):
            work[row["endpoint"]].append(row)
    for start in (row for row in evidence.starts if row["cold"]):
        endpoint, begun = start["endpoint"], start["at"]
        size = evidence.sizes.get(endpoint, 1.0)
        span: deque[tuple[float, float, bool]] = deque()
        for row in work[endpoint]:
            age = row["at"] - begun
            if not 0.0 <= age < rules.warm_up_ms:
                continue
            span.append((row["at"], row["work"], knew(joined, listed, row, begun, rules.drain_grace_ms)))
            while span[0][0] < row["at"] - rules.overload_window_ms:
                span.popleft()
            part = rules.initial_capacity + (1.0 - rules.initial_capacity) * age / rules.warm_up_ms
            budget = rules.overload_multiple * part * size * rules.overload_window_ms
            pushed = sum(each[1] for each in span)
            if pushed > SLACK * budget and sum(each[1] for each in span if each[2]) >= KNOWING * pushed:
                text = f"{pushed:.0f} ms of work within {rules.overload_window_ms:.0f} ms, {budget:.0f} allowed"
                yield Break(COLD, row["at"], text, row["proxy"], endpoint, row["exchange"])
                break


def knew(joined: dict, listed: dict, row: dict, begun: float, grace_ms: float) -> bool:
    """Whether the proxy's pilot had known of the start for the grace when this was sent."""
    span = next((s for s in joined.get(row["proxy"], ()) if s[0] <= row["at"] < s[1]), None)
    history = listed.get((span[2], row["endpoint"])) if span else None
    if not span or not history:
        return False
    told = [at for at, found in zip(history.times, history.rows, strict=True) if found[1] >= begun - 50.0 > 0]
    return bool(told) and row["at"] >= told[0] + grace_ms


def queue_too_long(evidence: Evidence) -> Iterator[Break]:
    """More lines waited in a pilot's channel, or more messages went to one proxy, than the settings allow."""
    channel = evidence.fleet.channel
    for pilot, messages in messages_of(evidence).items():
        most, at = longest(messages)
        if most > channel.max_queued_lines:
            text = f"{most:.0f} lines waited at {pilot}, {channel.max_queued_lines:.0f} allowed"
            yield Break(QUEUE, at, text)
        if not channel.max_messages:
            continue
        by_proxy: dict[str, deque[float]] = defaultdict(deque)
        for _, sent, _, proxy in sorted(messages, key=lambda message: message[1]):
            held = by_proxy[proxy]
            held.append(sent)
            while held[0] <= sent - channel.message_window_ms:
                held.popleft()
            if len(held) > channel.max_messages:
                text = f"{len(held)} messages within {channel.message_window_ms:.0f} ms from {pilot}"
                yield Break(QUEUE, sent, f"{text}, {channel.max_messages} allowed", proxy)
                held.clear()


Message = tuple[float, float, float, str]  # ordered, first sent, lines, proxy


def messages_of(evidence: Evidence) -> dict[str, list[Message]]:
    """What each pilot's sockets carried, as messages of its channel: the responses of one order to one proxy."""
    found: dict[str, dict[tuple, list]] = defaultdict(dict)
    extra = evidence.fleet.channel.lines_per_message
    joins: dict[str, int] = defaultdict(int)
    for row in evidence.sent:
        if row["what"] == "join":
            joins[row["proxy"]] += 1  # the count of messages begins anew
        if row["what"] != "send":
            continue
        pilot = row["nonce"].rpartition(".")[0]
        key = (row["proxy"], joins[row["proxy"]], row["order"])
        held = found[pilot].setdefault(key, [row["ordered"], row["at"], extra, row["proxy"]])
        held[2] += row["lines"]
    return {pilot: [tuple(held) for held in groups.values()] for pilot, groups in found.items()}  # type: ignore[misc]


def longest(messages: list[Message]) -> tuple[float, float]:
    """The most lines that waited at once, and when."""
    steps = sorted(
        [(ordered, lines) for ordered, sent, lines, _ in messages if sent > ordered]
        + [(sent, -lines) for ordered, sent, lines, _ in messages if sent > ordered]
    )
    most = at_most = waiting = 0.0
    for at, lines in steps:
        waiting += lines
        if waiting > most:
            most, at_most = waiting, at
    return most, at_most


def longest_channel(evidence: Evidence) -> float:
    """The most lines that waited in any pilot's channel."""
    return max((longest(messages)[0] for messages in messages_of(evidence).values()), default=0.0)


def slowest_drain(evidence: Evidence) -> float:
    """The longest time from the news that an endpoint drains or is gone to the last try there of a joined proxy."""
    return max((found[1] - max(told, up) for _, found, told, up, _ in late_tries(evidence)), default=0.0)
