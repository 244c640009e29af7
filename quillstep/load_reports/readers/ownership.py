"""Which of several readers counts a proxy's reports, so that they count once wherever its streams go.  Without I/O.

A reader says whose stream opened there; the controller says who has joined.  A reader that counted a proxy before
gives up its account first, and only then the next one counts.
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

MAX_KEPT_ACCOUNTS = 4096  # of proxies that no reader counts now


class ReaderCommand(NamedTuple):
    """A message, and which reader it is for."""

    reader: int
    message: MessageToReader


@dataclass(slots=True)
class JoinedProxy:
    """A joined proxy."""

    number: int
    zone: str
    incarnation: str


class ReportOwnership:
    """Who has joined, which reader counts whose reports, and the accounts that no reader has now.

    Each method takes one event and returns the commands that follow from it.
    """

    def __init__(self) -> None:
        self.proxies: dict[str, JoinedProxy] = {}
        self.owners: dict[str, int] = {}  # the reader that has the account
        self.streams: dict[str, int] = {}  # the reader where the newest stream is
        self.requests: dict[int, ReportRequest] = {}  # the latest of each proxy
        self.accounts: dict[str, ReportAccount] = {}
        self.releasing: set[str] = set()  # whose account is on its way back
        self.endpoints: list[tuple[str, int, int]] = []

    def add_endpoints(self, added: AddEndpoints, readers: int) -> list[ReaderCommand]:
        """Endpoints are in the list from now on."""
        self.endpoints += added.rows
        return [ReaderCommand(reader, added) for reader in range(readers)]

    def add_proxy(self, joined: ProxyJoined) -> list[ReaderCommand]:
        """A proxy has joined."""
        self.proxies[joined.name] = JoinedProxy(joined.proxy, joined.zone, joined.incarnation)
        return self._settle(joined.name)

    def remove_proxy(self, name: str) -> list[ReaderCommand]:
        """A proxy has left."""
        proxy = self.proxies.pop(name, None)
        if proxy is not None:
            self.requests.pop(proxy.number, None)
        return self._settle(name)

    def stream_opened(self, reader: int, name: str) -> list[ReaderCommand]:
        """A proxy's stream has opened at a reader."""
        self.streams[name] = reader
        return self._settle(name)

    def proxy_released(self, reader: int, name: str, account: ReportAccount | None) -> list[ReaderCommand]:
        """A reader has given up a proxy and sent back its account."""
        self.releasing.discard(name)
        if self.owners.get(name) == reader:
            del self.owners[name]
        if account is not None:
            self.accounts[name] = account
            if len(self.accounts) > MAX_KEPT_ACCOUNTS:
                del self.accounts[next(iter(self.accounts))]
        return self._settle(name)

    def request_reports(self, name: str, request: ReportRequest) -> list[ReaderCommand]:
        """A proxy is to report in another way."""
        self.requests[request.proxy] = request
        return [ReaderCommand(self.owners[name], RequestReports(request))] if name in self.owners else []

    def reader_ended(self, reader: int) -> None:
        """A reader has ended, and its accounts with it; streams will open elsewhere or there again."""
        self.owners = {name: owner for name, owner in self.owners.items() if owner != reader}
        self.streams = {name: at for name, at in self.streams.items() if at != reader}
        self.releasing &= set(self.owners)

    def _settle(self, name: str) -> list[ReaderCommand]:
        """The next step towards one account at the reader that has the stream."""
        proxy, stream, owner = self.proxies.get(name), self.streams.get(name), self.owners.get(name)
        if name in self.releasing:
            return []
        if owner is not None and (proxy is None or owner != stream):
            self.releasing.add(name)
            return [ReaderCommand(owner, ReleaseProxy(name))]
        if proxy is None or stream is None:
            return []  # whoever joins in another incarnation, or with another number, was released before
        self.owners[name] = stream
        account = self.accounts.pop(name, None)
        added = AddProxy(name, proxy.number, proxy.zone, proxy.incarnation, account)
        commands = [ReaderCommand(stream, added)]
        if proxy.number in self.requests:
            commands.append(ReaderCommand(stream, RequestReports(self.requests[proxy.number])))
        return commands
