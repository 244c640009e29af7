"""The file front's side in the decision thread: handles registrations and acknowledgements, queues generations.

This module accesses no files, so that a slow or full disk affects only the proxies that follow files.
"""

from collections.abc import Callable

import msgspec
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.files.disk import Disk, read_ack
from quillstep.files.events import AcknowledgementRead, FileEvent, GenerationWritten, LoadReportRead, RegistrationRead
from quillstep.files.generation_files import GenerationEncoder, encode_manifest
from quillstep.files.proxy_generations import Generation, PendingGeneration, ProxyGenerations
from quillstep.files.registration import RegisteredProxy
from quillstep.files.watcher import DirectoryWatcher
from quillstep.files.writer import GenerationWriter
from quillstep.routing import Key
from quillstep.xds import resources
from quillstep.xds.load_stats import read_report
from quillstep.xds.proxy_front import FrontContext, ProxyFront

MAINTENANCE_SHARE = 0.25  # interval between two maintenance runs, as a share of the idle timeout
MIN_RETRY_MS = 1.0


class FileFront(ProxyFront):
    """All proxies of one controller that follow files.

    The watcher and the writer run in their own threads; they publish events to the decision thread by `put`, which
    blocks while the queue is full.
    """

    def __init__(self, context: FrontContext, put: Callable[[FileEvent], None], disk: Disk | None = None) -> None:
        settings = context.settings
        self.file_settings = settings.files
        interval_ms = MAINTENANCE_SHARE * settings.files.idle_timeout_ms
        super().__init__(context, logger="files", maintenance_interval_ms=interval_ms)
        self.disk = disk or Disk(settings.files.root, settings.files.fsync)
        self.watcher = DirectoryWatcher(self.disk, settings.files, put)
        self.writer = GenerationWriter(self.disk, put)
        self.generation_encoder = GenerationEncoder(self.encoder, settings.files.form, settings.files.shards)
        self.generations: dict[str, ProxyGenerations] = {}  # joined proxies, by directory
        self.directories: dict[int, str] = {}  # directories of joined proxies, by proxy number
        self.registered: dict[str, RegisteredProxy] = {}  # joined and idle proxies, by directory
        self.digests: dict[str, dict[str, str]] = {}  # newest generations' file digests, by directory and name

    def start(self) -> None:
        """Starts the watcher's and the writer's threads."""
        self.watcher.start()
        self.writer.start()
        self.log.info("file front ready", root=self.disk.root)

    def stop(self) -> None:
        """Stops both threads without waiting for them."""
        self.watcher.stop()
        self.writer.stop()

    # Events

    def handle_event(self, event: FileEvent, now_ms: float) -> None:
        """Handles one event of the watcher or the writer."""
        match event:
            case GenerationWritten(pending, written_ms, error):
                self._handle_written(pending, written_ms, error, now_ms)
            case RegistrationRead(directory, content, age_ms):
                self._handle_registration(directory, content, age_ms, now_ms)
            case AcknowledgementRead(directory, data, age_ms):
                is_recent = age_ms < self.file_settings.idle_timeout_ms
                if generations := self._handle_activity(directory, is_recent, now_ms):
                    self._handle_ack(generations, data, now_ms)
            case LoadReportRead(directory, data):
                if generations := self._handle_activity(directory, True, now_ms):
                    self._handle_report(generations, data)

    def drop(self, proxy: int, reason: str, now_ms: float) -> None:
        """Removes a proxy that has joined another front; it joins here again only by a new registration."""
        if directory := self.directories.get(proxy):
            self._leave(directory, reason, now_ms)
            self.registered.pop(directory, None)

    def _handle_registration(
        self, directory: str, registered: RegisteredProxy | str, age_ms: float, now_ms: float
    ) -> None:
        if isinstance(registered, str):
            self.log.warning("registration rejected", proxy=directory, reason=registered)
            return
        self.registered[directory] = registered
        if age_ms < self.file_settings.idle_timeout_ms:  # an older registration joins at the proxy's next activity
            self._join(directory, registered, now_ms)

    def _handle_activity(self, directory: str, is_recent: bool, now_ms: float) -> ProxyGenerations | None:
        """Returns the generations of a proxy that has written a file; an idle one joins again if the file is recent."""
        if directory not in self.generations and directory in self.registered and is_recent:
            self._join(directory, self.registered[directory], now_ms)
        generations = self.generations.get(directory)
        if generations:
            generations.last_received_ms = now_ms
        return generations

    def _join(self, directory: str, registered: RegisteredProxy, now_ms: float) -> None:
        """Joins a proxy with the resources of its generation on disk and the versions in its hello file."""
        registration = registered.registration
        if directory in self.generations:
            number = self.generations[directory].number
            self._leave(directory, "the proxy registered again", now_ms)
            registered = registered._replace(newest=max(registered.newest, number))
        versions = self._held_versions(registered)
        is_fresh = not versions and not registration.generation
        zone = registration.zone
        proxy = self.hooks.add_proxy(
            registration.node, zone, registration.expected_requests_per_s, versions, is_fresh, self
        )
        generations = ProxyGenerations(proxy, registered.newest, dict(registered.resources))
        generations.last_received_ms = now_ms
        if registered.held:
            generations.accepted_number = registered.held
            generations.sets = {registered.held: dict(registered.resources)}
        self.generations[directory], self.directories[proxy] = generations, directory
        self.digests.pop(directory, None)
        self._record_joined(proxy, registration.node, zone, is_fresh, len(versions), now_ms)

    def _held_versions(self, registered: RegisteredProxy) -> dict[Key, str]:
        registration = registered.registration
        versions = {key: resource.version for key, resource in registered.resources.items()}
        if registration.generation and not registered.held:
            reason = "the generation that the proxy holds cannot be read"
            self.log.warning("unknown version", proxy=registration.node, version=registration.generation, reason=reason)
        for type_url, names in registration.versions.items():
            versions.update({resources.key_of(type_url, name): version for name, version in names.items()})
        return versions

    def _leave(self, directory: str, reason: str, now_ms: float) -> None:
        generations = self.generations.pop(directory)
        if directory in self.registered:
            registration = self.registered[directory].registration
            number, accepted = generations.accepted_number, generations.accepted
            if number in generations.sets and accepted:
                registration = msgspec.structs.replace(registration, generation=number, versions={})
            self.registered[directory] = RegisteredProxy(registration, generations.number, number, accepted)
        self.directories.pop(generations.proxy, None)
        self.retry_ms.pop(generations.proxy, None)
        self._record_left(generations.proxy, reason, now_ms)

    def _handle_ack(self, generations: ProxyGenerations, data: bytes, now_ms: float) -> None:
        node = self.nodes[generations.proxy]
        try:
            number, reason = read_ack(data)
        except ValueError as error:
            self.log.warning("malformed acknowledgement", proxy=node, reason=str(error))
            return
        result = generations.handle_ack(self.tables, number, reason, now_ms)
        nonce = f"{self.epoch}.g{number}"
        if result.error:
            self.log.warning("acknowledgement ignored", proxy=node, version=number, reason=result.error)
        if result.acknowledged:
            self.tap("ack", now_ms, proxy=node, nonce=nonce)
        if result.nack:
            self.tap("nack", now_ms, proxy=node, nonce=nonce)
            self._log_nack(generations.proxy, result.nack, number)
        self.tables.pending_proxies.add(generations.proxy)

    def _handle_report(self, generations: ProxyGenerations, data: bytes) -> None:
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError:
            self.log.warning("malformed load report", proxy=self.nodes[generations.proxy])
            return
        if request.cluster_stats:
            report = read_report(request, data, self.hooks.class_indexes, self.hooks.endpoint_numbers)
            self.hooks.add_load_report(generations.proxy, report)

    def _handle_written(self, pending: PendingGeneration, at_ms: float, error: str, now_ms: float) -> None:
        generations = pending.generations
        is_current = self.generations.get(pending.directory) is generations
        if error:
            self._handle_write_error(pending, is_current, error, now_ms)
            return
        generations.mark_written()
        if is_current:
            generation = pending.generation
            self.tap(
                "send",
                at_ms,
                proxy=self.nodes[generations.proxy],
                order=generation.revision,
                ordered=self.revision_time_ms(generation.revision),
                lines=generation.updated + generation.removed,
                bytes=pending.size_bytes,
                nonce=f"{self.epoch}.g{generation.number}",
                type="files",
            )
            self.tables.pending_proxies.add(generations.proxy)  # changes made during the write are sent at once

    def _handle_write_error(self, pending: PendingGeneration, is_current: bool, error: str, now_ms: float) -> None:
        generations, number = pending.generations, pending.generation.number
        ledger = self.tables.proxies.get(generations.proxy) if is_current else None
        generations.mark_failed(ledger, number, now_ms, self.file_settings.retry_backoff_ms)
        node = self.nodes[generations.proxy]
        self.log.error("generation not written", proxy=node, version=number, reason=error)
        self.digests.pop(pending.directory, None)
        if is_current:
            self.retry_ms[generations.proxy] = generations.retry_ms

    # Updates

    def _send_changes(self, proxy: int, now_ms: float) -> None:
        directory = self.directories.get(proxy)
        generations = self.generations.get(directory) if directory else None
        if generations is None or directory is None:
            return
        generation = generations.next(self.tables, now_ms)
        if generation:
            self._write(directory, generations, generation)
        elif not generations.is_writing and (retry_ms := self.tables.proxies[proxy].next_retry_ms(now_ms)) is not None:
            self.retry_ms[proxy] = max(now_ms + MIN_RETRY_MS, retry_ms)
        elif now_ms < generations.retry_ms:
            self.retry_ms[proxy] = generations.retry_ms

    def _write(self, directory: str, generations: ProxyGenerations, generation: Generation) -> None:
        """Queues a generation for the writer."""
        files = self.generation_encoder.files(generation.resources)
        previous = self.digests.get(directory, {})
        changed_bytes = sum(len(file.data) for file in files if previous.get(file.name) != file.digest)
        self.digests[directory] = {file.name: file.digest for file in files}
        revision_time_ms = self.revision_time_ms(generation.revision)
        manifest = encode_manifest(self.epoch, generation.number, generation.revision, revision_time_ms, files)
        self.writer.queue.put(
            PendingGeneration(
                directory,
                generations,
                generation,
                files,
                manifest,
                generations.numbers_to_keep(),
                changed_bytes + len(manifest),
            )
        )

    def _maintain(self, now_ms: float) -> None:
        """Removes proxies that are idle, and proxies that do not acknowledge a generation in time."""
        for directory, generations in list(self.generations.items()):
            self._log_overdue_ejections(generations.proxy, now_ms)
            oldest_ms = self.tables.proxies[generations.proxy].oldest_sent_ms()
            idle_ms, ack_ms = self.file_settings.idle_timeout_ms, self.settings.limits.ack_timeout_ms
            if now_ms - generations.last_received_ms > idle_ms:
                self._leave(directory, f"idle for {idle_ms / 1000.0:g} s", now_ms)
            elif oldest_ms is not None and not generations.is_writing and now_ms - oldest_ms > ack_ms:
                self._leave(directory, f"no acknowledgement within {ack_ms:g} ms", now_ms)
