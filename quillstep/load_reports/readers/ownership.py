"""Assignment of proxies to readers, so that reports count once whichever reader a proxy connects to.  No I/O.

Readers report which proxies opened streams; the controller reports which proxies have joined.  When a proxy moves to
another reader, the previous one releases the proxy's account before the next one starts to count.
"""

from dataclasses import dataclass
from typing import NamedTuple

from quillstep.load_reports.messages import (
    AddEndpoints,
    AddProxy,
    MessageToReader,
    ProxyJoined,
    ReleaseProxy,
    ReportRequest,
    RequestReports,
)
from quillstep.load_reports.validation import ReportAccount

MAX_UNASSIGNED_ACCOUNTS = 4096  # maximum accounts retained for proxies that no reader counts


class ReaderCommand(NamedTuple):
    """A message for one reader."""

    reader: int
    message: MessageToReader


@dataclass(slots=True)
class JoinedProxy:
    """A joined proxy."""

    number: int
    zone: str
    incarnation: str


class ReportOwnership:
    """The joined proxies, the reader that counts each of them, and the accounts held by no reader.

    Each method handles one event and returns the resulting commands.

    Attributes:
        proxies: Joined proxies by name.
        owners: The reader that holds each proxy's account.
        streams: The reader at which each proxy's newest stream is open.
        requests: The latest report request, by proxy number.
        accounts: Accounts held by no reader, oldest first.
        releasing: Proxies whose account a reader was asked to release.
        endpoints: All listed endpoints, as host, port and number.
    """

    def __init__(self) -> None:
        self.proxies: dict[str, JoinedProxy] = {}
        self.owners: dict[str, int] = {}
        self.streams: dict[str, int] = {}
        self.requests: dict[int, ReportRequest] = {}
        self.accounts: dict[str, ReportAccount] = {}
        self.releasing: set[str] = set()
        self.endpoints: list[tuple[str, int, int]] = []

    def add_endpoints(self, added: AddEndpoints, readers: int) -> list[ReaderCommand]:
        """Handles endpoints added to the endpoint list; all readers are notified."""
        self.endpoints += added.rows
        return [ReaderCommand(reader, added) for reader in range(readers)]

    def add_proxy(self, joined: ProxyJoined) -> list[ReaderCommand]:
        """Handles a proxy that has joined."""
        self.proxies[joined.name] = JoinedProxy(joined.proxy, joined.zone, joined.incarnation)
        return self._reconcile(joined.name)

    def remove_proxy(self, name: str) -> list[ReaderCommand]:
        """Handles a proxy that has left."""
        proxy = self.proxies.pop(name, None)
        if proxy is not None:
            self.requests.pop(proxy.number, None)
        return self._reconcile(name)

    def stream_opened(self, reader: int, name: str) -> list[ReaderCommand]:
        """Handles a stream that a proxy opened at a reader."""
        self.streams[name] = reader
        return self._reconcile(name)

    def proxy_released(self, reader: int, name: str, account: ReportAccount | None) -> list[ReaderCommand]:
        """Handles a reader's release of a proxy, with its account if there was one."""
        self.releasing.discard(name)
        if self.owners.get(name) == reader:
            del self.owners[name]
        if account is not None:
            self.accounts[name] = account
            if len(self.accounts) > MAX_UNASSIGNED_ACCOUNTS:
                del self.accounts[next(iter(self.accounts))]
        return self._reconcile(name)

    def request_reports(self, name: str, request: ReportRequest) -> list[ReaderCommand]:
        """Handles a change of how a proxy is to report."""
        self.requests[request.proxy] = request
        return [ReaderCommand(self.owners[name], RequestReports(request))] if name in self.owners else []

    def reader_ended(self, reader: int) -> None:
        """Handles the exit of a reader process: its accounts are lost, and its proxies will open new streams."""
        self.owners = {name: owner for name, owner in self.owners.items() if owner != reader}
        self.streams = {name: stream for name, stream in self.streams.items() if stream != reader}
        self.releasing &= set(self.owners)

    def _reconcile(self, name: str) -> list[ReaderCommand]:
        """Returns the next commands that move a proxy's account to the reader that has its stream."""
        proxy, stream, owner = self.proxies.get(name), self.streams.get(name), self.owners.get(name)
        if name in self.releasing:
            return []
        if owner is not None and (proxy is None or owner != stream):
            self.releasing.add(name)
            return [ReaderCommand(owner, ReleaseProxy(name))]
        if proxy is None or stream is None:
            return []  # a proxy that rejoins with another incarnation or number has been released before
        self.owners[name] = stream
        account = self.accounts.pop(name, None)
        added = AddProxy(name, proxy.number, proxy.zone, proxy.incarnation, account)
        commands = [ReaderCommand(stream, added)]
        if proxy.number in self.requests:
            commands.append(ReaderCommand(stream, RequestReports(self.requests[proxy.number])))
        return commands
