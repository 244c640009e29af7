"""Hosts the instances: reads a batch, runs the planner of each instance that has events once, and writes a reply."""

import traceback
from collections.abc import Iterable
from typing import TextIO

from quillstep.config.start_settings import Fields
from quillstep.errors import QuillstepError
from quillstep.planner.messages import EndpointEntry, EndpointListUpdate, Observations
from quillstep.planner.planner import Planner
from quillstep.simulator import decode
from quillstep.simulator.decode import Line, MalformedLineError
from quillstep.simulator.output import SimulatorOutput

END_OF_REPLY = "end"


class MalformedInputError(QuillstepError):
    """The input violates the protocol and processing stops; the message is printed for the operator."""


class EndpointLists:
    """The numbered endpoint lists of the process; updates of any instance may refer to them."""

    def __init__(self) -> None:
        self.missing_entries = 0
        self._lists: dict[int, list[EndpointEntry]] = {}
        self._current: list[EndpointEntry] = []

    def announce(self, announcement: decode.ListAnnouncement) -> None:
        """Starts a list, replacing any list with the same number."""
        self._current = self._lists[announcement.number] = []
        self.missing_entries = announcement.entries

    def add(self, fields: Fields) -> None:
        """Adds an entry to the list that was announced last.

        Raises:
            MalformedLineError: The list is complete, or none was announced.
        """
        if not self.missing_entries:
            raise MalformedLineError("unexpected 'item': not announced by a 'manifest'")
        self._current.append(decode.endpoint_entry(fields))
        self.missing_entries -= 1

    def update(self, reference: decode.ListReference) -> EndpointListUpdate:
        """Returns the update that refers to a list, with the list's present entries.

        Raises:
            MalformedLineError: No list has this number.
        """
        if reference.kind == "error":
            return EndpointListUpdate(reference.kind, [])
        if reference.number not in self._lists:
            raise MalformedLineError(f"unknown list number {reference.number}: not announced by a 'manifest'")
        return EndpointListUpdate(reference.kind, list(self._lists[reference.number]))


class Instance:
    """One started planner, and its observations in the current batch."""

    def __init__(self, fields: Fields, lists: EndpointLists) -> None:
        config, class_names = decode.start_config(fields)
        self.planner = Planner(config, decode.start_seed(fields))
        self._class_indexes = {name: index for index, name in enumerate(class_names)}
        self._lists = lists
        self._observations: Observations | None = None

    def begin_interval(self, now_ms: float) -> Observations:
        """Schedules a run of the planner after this batch, and returns the batch's observations."""
        if self._observations is None:
            self._observations = Observations(now_ms)
        return self._observations

    def drain_observations(self) -> Observations | None:
        """Returns and clears the observations of this batch; None if the planner is not scheduled to run."""
        observations, self._observations = self._observations, None
        return observations

    def observe(self, line: Line, now_ms: float) -> None:
        """Adds one event; an event without observations only schedules a run of the planner."""
        observations, fields = self.begin_interval(now_ms), line.fields
        match line.name:
            case decode.UPSTREAM_STATS:
                observations.upstream_stats.append(decode.upstream_stats(fields))
            case decode.DOWNSTREAM_STATS:
                observations.downstream_stats.append(decode.downstream_stats(fields, self._class_indexes))
            case decode.ACK:
                observations.acks.append(decode.ack_serial(fields))
            case decode.HEALTH_CHECK_RESULT:
                observations.health_checks.append(decode.health_check_result(fields))
            case decode.PROXY_JOINED:
                observations.proxy_streams.append(decode.proxy_joined(fields))
            case decode.PROXY_LEFT:
                observations.proxy_streams.append(decode.proxy_left(fields))
            case decode.ENDPOINT_LIST_UPDATE:
                observations.endpoint_lists.append(self._lists.update(decode.list_reference(fields)))


class Host:
    """All instances of this process, by name."""

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._lists = EndpointLists()
        self._now_ms = 0.0

    def serve(self, source: Iterable[bytes], sink: TextIO) -> None:
        """Replies to each batch until the input ends.

        Args:
            source: Lines of the input.
            sink: Receives the replies; flushed after each of them.

        Raises:
            MalformedInputError: A line is malformed, or the input ends within a batch.
        """
        in_batch = False
        number = 0
        for number, raw in enumerate(source, 1):
            try:
                text = raw.decode("utf-8").rstrip("\r\n")
                if not text and not in_batch:
                    continue
                line = decode.parse_line(text)
                if in_batch == (line.name == decode.BATCH_START):
                    raise MalformedLineError("expected a batch to begin with 'turn' and end with 'over_to_you'")
                in_batch = line.name != decode.BATCH_END
                self.handle(line)
            except ValueError as error:
                message = f"quillstep: input line {number}: {error}"
                raise MalformedInputError(message) from error
            if not in_batch:
                sink.write("\n".join([*self.reply(), f"{END_OF_REPLY}\n"]))
                sink.flush()
        if in_batch:
            raise MalformedInputError(f"quillstep: input line {number}: the input ended within a batch")

    def handle(self, line: Line) -> None:
        """Applies one line of a batch.

        Raises:
            ValueError: The line is malformed, out of order, or refers to an unknown list or class.
        """
        name, fields = line
        if self._lists.missing_entries and name != decode.ENDPOINT_ENTRY:
            raise MalformedLineError(f"expected {self._lists.missing_entries} more 'item' lines")
        match name:
            case decode.ENDPOINT_ENTRY:
                self._lists.add(fields)
            case decode.BATCH_START:
                self._now_ms = decode.batch_time_ms(fields)
            case decode.ENDPOINT_LIST:
                self._lists.announce(decode.list_announcement(fields))
            case decode.START:
                instance = Instance(fields, self._lists)
                instance.begin_interval(self._now_ms)
                self._instances[decode.instance_name(fields)] = instance
            case decode.STOP:
                self._instances.pop(decode.instance_name(fields), None)
            case decode.BATCH_END:
                pass
            case _:
                # Events of a stopped instance are ignored.
                if receiver := self._instances.get(decode.instance_name(fields)):
                    receiver.observe(line, self._now_ms)

    def reply(self) -> list[str]:
        """Runs each planner that has events, and returns the lines of the reply."""
        lines: list[str] = []
        for name, instance in self._instances.items():
            observations = instance.drain_observations()
            if observations is None:
                continue
            output = SimulatorOutput(name, lines)
            try:
                instance.planner.run_interval(observations, output)
            except Exception as error:  # any exception in the planner ends the simulation and is reported
                traceback.print_exc()
                output.report_failure(error)
        return lines
