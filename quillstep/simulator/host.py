"""Hosts the instances: gathers a batch for each, calls its planner once, writes one reply."""

from collections.abc import Iterable
from typing import TextIO

from quillstep.planner.messages import (
    DownstreamStats,
    EndpointEntry,
    EndpointListUpdate,
    HealthCheckResult,
    Observations,
    ProxyStreamEvent,
    UpstreamStats,
)
from quillstep.planner.planner import Planner
from quillstep.simulator import decode
from quillstep.simulator.output import SimulatorOutput


class MalformedInputError(Exception):
    """The input can't be read any further; the message is the sentence for the operator."""


class Instance:
    """One started planner, the wire's names of its classes, and what it has been brought in this batch."""

    def __init__(self, found: dict[str, str]) -> None:
        facts, names = decode.planner_config_of_start(found)
        self.planner = Planner(facts, decode.whole(found, "randomSeed"))
        self.places = {name: place for place, name in enumerate(names)}
        self.incoming: Observations | None = None


class Host:
    """All instances that this process was given, and the numbered lists of the process."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.banks: dict[int, list[EndpointEntry]] = {}
        self.now_ms = 0.0
        self.filling: list[EndpointEntry] = []
        self.entries_due = 0

    def serve(self, source: Iterable[bytes], sink: TextIO) -> None:
        """Answer batch after batch until the input ends between two of them."""
        inside = False
        at = 0
        for at, raw in enumerate(source, 1):
            try:
                line = raw.decode("utf-8").rstrip("\r\n")
                if not line and not inside:
                    continue
                name, found = decode.fields(line)
                if inside == (name == "turn"):
                    raise ValueError("a batch begins with 'turn' and ends with 'over_to_you'")
                inside = name != "over_to_you"
                self.take(name, found)
            except ValueError as trouble:
                raise MalformedInputError(f"quillstep: line {at} of the input can't be read: {trouble}.") from None
            if not inside:
                sink.write("\n".join([*self.reply(), "end\n"]))
                sink.flush()
        if inside:
            raise MalformedInputError(f"quillstep: line {at} of the input is the last, but its batch is cut off.")

    def take(self, name: str, found: dict[str, str]) -> None:
        """Put one line of a batch where it belongs."""
        if self.entries_due and name != "item":
            raise ValueError(f"{self.entries_due} more 'item' lines were due")
        if name == "turn":
            self.now_ms = decode.ms(found, "atTime")
        elif name == "manifest":
            self.filling = self.banks[decode.whole(found, "bank")] = []
            self.entries_due = decode.whole(found, "membersList")
        elif name == "item":
            if not self.entries_due:
                raise ValueError("an 'item' came that no 'manifest' had announced")
            self.filling.append(decode.entry(found))
            self.entries_due -= 1
        elif name == "start":
            self.instances[found["i"]] = Instance(found)
            self.gathered(found["i"])
        elif name == "stop":
            self.instances.pop(found["i"], None)
        elif name != "over_to_you":
            self.gather(name, found)

    def gathered(self, instance: str) -> Observations:
        hosted = self.instances[instance]
        if hosted.incoming is None:
            hosted.incoming = Observations(self.now_ms)
        return hosted.incoming

    def gather(self, name: str, found: dict[str, str]) -> None:
        """Add one event to what its instance is brought; events of a stopped instance are void."""
        instance = found["i"]
        if instance not in self.instances:
            return
        incoming = self.gathered(instance)
        whole = decode.whole
        if name == "membership":
            kind = found["mode"].lower()
            bank = whole(found, "bank")
            if kind != "error" and bank not in self.banks:
                raise ValueError(f"no 'manifest' gave the list number {bank}")
            entries = [] if kind == "error" else list(self.banks[bank])
            incoming.endpoint_lists.append(EndpointListUpdate(kind, entries))
        elif name == "joined":
            usual, fresh = decode.number(found, "part"), decode.yes(found, "active")
            incoming.proxy_streams.append(
                ProxyStreamEvent(whole(found, "agent"), True, found["regionPart"], usual, fresh)
            )
        elif name == "disconnected":
            incoming.proxy_streams.append(ProxyStreamEvent(whole(found, "agent"), False))
        elif name == "observed":
            incoming.upstream_stats.append(UpstreamStats(
                whole(found, "endpoint"), whole(found, "many"), whole(found, "errors"),
                decode.ms(found, "timeTaken"), decode.ms(found, "covers"), decode.load(found),
            ))  # fmt: skip
        elif name == "traffic":
            place = self.instances[instance].places.get(found["service"])
            if place is None:
                raise ValueError(f"service={found['service']!r} is no class of the settings")
            incoming.downstream_stats.append(DownstreamStats(
                place, whole(found, "agent"), whole(found, "many"), whole(found, "errors"),
                decode.ms(found, "covers"),
            ))  # fmt: skip
        elif name == "applied":
            incoming.acks.append(whole(found, "serial"))
        elif name == "health":
            incoming.health_checks.append(HealthCheckResult(
                whole(found, "endpoint"), found["disposition"] == "done",
                decode.ms(found, "timeTaken"), decode.load(found),
            ))  # fmt: skip

    def reply(self) -> list[str]:
        """Call each planner that something came in for, and return the lines of the reply."""
        lines: list[str] = []
        for name, hosted in self.instances.items():
            if hosted.incoming is None:
                continue
            incoming, hosted.incoming = hosted.incoming, None
            orders = SimulatorOutput(name, lines)
            try:
                hosted.planner.run_interval(incoming, orders)
            except Exception as trouble:  # whatever goes wrong inside the module ends the day with its cause
                orders.broken(f"{type(trouble).__name__}: {trouble}")
        return lines
