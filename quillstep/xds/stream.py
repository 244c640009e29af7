"""What both kinds of discovery streams share, without I/O: nonces, words on what was sent, faults, responses."""

from collections.abc import Callable
from typing import Any, NamedTuple

from quillstep.config.controller import LimitSettings
from quillstep.routing import Change, Nack, Tables
from quillstep.xds import resources
from quillstep.xds.grpc import INVALID_ARGUMENT, RESOURCE_EXHAUSTED


class Response(NamedTuple):
    """Bytes to send, and what a record says of them: order, type, how many resources, how many removed."""

    message: bytes
    number: int
    url: str
    nonce: str
    changed: int
    removed: int


class StreamError(Exception):
    """What a peer asked for ends its stream, with this status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Stream:
    """One stream of one proxy; belongs to the deciding thread.  `whole`: it can't send less than all of a type."""

    whole = False

    def __init__(
        self,
        tables: Tables,
        encoder: resources.Encoder,
        limits: LimitSettings,
        epoch: str,
        ordered_ms: Callable[[int], float],
    ) -> None:
        self.tables, self.encoder, self.limits, self.epoch = tables, encoder, limits, epoch
        self.ordered_ms = ordered_ms
        self.proxy = -1
        self.nonces = 0
        self.errors: list[Response] = []

    def nonce(self) -> str:
        self.nonces += 1
        return f"{self.epoch}.{self.nonces}"

    def stamp(self, number: int) -> str:
        """Which order a response belongs to, and when it was ordered."""
        return f"{self.epoch}/{number}/{self.ordered_ms(number):.1f}"

    @staticmethod
    def named(request: Any) -> None:
        """The first request of a stream must say whose it is."""
        if not request.node.id:
            raise StreamError(INVALID_ARGUMENT, "the first request names no node")

    def word(self, request: Any, now_ms: float) -> tuple[list[Change], Nack | None]:
        """What a request acknowledges, or refuses and why."""
        if not request.response_nonce:
            return [], None
        if request.HasField("error_detail"):
            reason = request.error_detail.message or f"code {request.error_detail.code}"
            nonce = request.response_nonce
            return [], self.tables.record_nack(self.proxy, nonce, reason, now_ms, self.whole)
        return self.tables.record_ack(self.proxy, request.response_nonce, now_ms), None

    def bounded(self, names: int) -> None:
        """Raises StreamFault where a peer asks for more names than it may."""
        most = self.limits.max_subscriptions
        if names > most:
            raise StreamError(RESOURCE_EXHAUSTED, f"more than {most} names subscribed of one type")

    def unserved(self, request: Any, names: list[str], response: Any) -> None:
        """Answer a type that we don't serve so that the peer can read it; its stream goes on."""
        if request.response_nonce:
            return  # its acknowledgement of that answer
        response.type_url, response.nonce = request.type_url, self.nonce()
        for named in names or ["*"]:
            error = response.resource_errors.add()
            error.resource_name.name = named
            error.error_detail.code = INVALID_ARGUMENT
            error.error_detail.message = f"this pilot serves no {request.type_url or 'resources without a type'}"
        self.errors.append(Response(response.SerializeToString(), 0, request.type_url, response.nonce, 0, 0))
