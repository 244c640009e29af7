"""What both kinds of discovery streams share, without I/O: nonces, acks and nacks, errors, responses."""

from collections.abc import Callable
from typing import Any, NamedTuple

from quillstep.config.controller import LimitSettings
from quillstep.errors import QuillstepError
from quillstep.routing import Change, Nack, Tables
from quillstep.xds import resources
from quillstep.xds.grpc import INVALID_ARGUMENT, RESOURCE_EXHAUSTED


class Response(NamedTuple):
    """A response to send, and what the sockets' record says of it."""

    message: bytes
    revision: int  # of the tables
    type_url: str
    nonce: str
    updated: int  # resources in it
    removed: int


class RequestResult(NamedTuple):
    """What a request acknowledged, and what it rejected."""

    acknowledged: list[Change]
    nack: Nack | None


class StreamError(QuillstepError):
    """What a peer requested ends its stream, with this gRPC status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Stream:
    """One stream of one proxy; belongs to the deciding thread."""

    sends_full_state = False  # whether it can't send less than all resources of a type

    def __init__(
        self,
        tables: Tables,
        encoder: resources.Encoder,
        limits: LimitSettings,
        epoch: str,
        ordered_ms: Callable[[int], float],
    ) -> None:
        """A stream that belongs to no proxy yet.

        Args:
            tables: What each proxy should hold.
            encoder: Makes resources.
            limits: What a stream may cost.
            epoch: The controller's incarnation, in nonces and versions.
            ordered_ms: When a revision of the tables was made.
        """
        self.tables, self.encoder, self.limits, self.epoch = tables, encoder, limits, epoch
        self.ordered_ms = ordered_ms
        self.proxy = -1  # set when it has joined
        self.nonce_count = 0
        self.errors: list[Response] = []  # to be sent with the next responses

    def _next_nonce(self) -> str:
        self.nonce_count += 1
        return f"{self.epoch}.{self.nonce_count}"

    def _version_info(self, revision: int) -> str:
        """Which revision a response belongs to, and when that was made."""
        return f"{self.epoch}/{revision}/{self.ordered_ms(revision):.1f}"

    @staticmethod
    def _check_node(request: Any) -> None:
        """The first request of a stream must name its node."""
        if not request.node.id:
            raise StreamError(INVALID_ARGUMENT, "the first request names no node")

    def _handle_ack(self, request: Any, now_ms: float) -> RequestResult:
        """Records what a request acknowledges, or rejects and why."""
        nonce = request.response_nonce
        if not nonce:
            return RequestResult([], None)
        if request.HasField("error_detail"):
            reason = request.error_detail.message or f"code {request.error_detail.code}"
            return RequestResult([], self.tables.record_nack(self.proxy, nonce, reason, now_ms, self.sends_full_state))
        return RequestResult(self.tables.record_ack(self.proxy, nonce, now_ms), None)

    def _check_subscriptions(self, count: int) -> None:
        """Raises StreamError where a peer subscribes to more names than it may."""
        most = self.limits.max_subscriptions
        if count > most:
            raise StreamError(RESOURCE_EXHAUSTED, f"more than {most} names subscribed of one type")

    def _reject_type(self, request: Any, names: list[str], response: Any) -> None:
        """Answers a type that is not served so that the peer can read it; its stream goes on."""
        if request.response_nonce:
            return  # its acknowledgement of that answer
        response.type_url, response.nonce = request.type_url, self._next_nonce()
        for name in names or ["*"]:
            error = response.resource_errors.add()
            error.resource_name.name = name
            error.error_detail.code = INVALID_ARGUMENT
            error.error_detail.message = f"this pilot serves no {request.type_url or 'resources without a type'}"
        self.errors.append(Response(response.SerializeToString(), 0, request.type_url, response.nonce, 0, 0))

    def _take_errors(self) -> list[Response]:
        errors, self.errors = self.errors, []
        return errors
