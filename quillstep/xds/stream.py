"""The base class of delta and state-of-the-world streams, without I/O: nonces, acks and nacks, errors, responses."""

from collections.abc import Callable
from typing import Any, NamedTuple

from quillstep.config.controller import LimitSettings
from quillstep.errors import QuillstepError
from quillstep.routing import Change, Nack, Tables
from quillstep.xds import resources
from quillstep.xds.grpc import INVALID_ARGUMENT, RESOURCE_EXHAUSTED


class Response(NamedTuple):
    """A response to send, and its description for the socket record.

    Attributes:
        message: The encoded response.
        revision: Revision of the tables.
        type_url: Type of the resources.
        nonce: The response's nonce.
        updated: How many resources the response contains.
        removed: How many resources it removes.
    """

    message: bytes
    revision: int
    type_url: str
    nonce: str
    updated: int
    removed: int


class RequestResult(NamedTuple):
    """The changes that a request acknowledged, and what it rejected."""

    acknowledged: list[Change]
    nack: Nack | None


class StreamError(QuillstepError):
    """A request is invalid or exceeds a limit; its stream is closed with the gRPC status `status`."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Stream:
    """One discovery stream of one proxy.  All methods run in the decision thread."""

    sends_full_state = False  # whether each response contains all resources of a type

    def __init__(
        self,
        tables: Tables,
        encoder: resources.Encoder,
        limits: LimitSettings,
        epoch: str,
        revision_time_ms: Callable[[int], float],
    ) -> None:
        """Initializes a stream that is not assigned to a proxy yet.

        Args:
            tables: The desired state of each proxy.
            encoder: Encodes resources.
            limits: Limits of a stream.
            epoch: The controller's incarnation, part of nonces and versions.
            revision_time_ms: Returns when a revision of the tables was decided.
        """
        self.tables, self.encoder, self.limits, self.epoch = tables, encoder, limits, epoch
        self.revision_time_ms = revision_time_ms
        self.proxy = -1  # set once the proxy has joined
        self.nonce_count = 0
        self.errors: list[Response] = []  # sent ahead of the next responses

    def _next_nonce(self) -> str:
        self.nonce_count += 1
        return f"{self.epoch}.{self.nonce_count}"

    def _version_info(self, revision: int) -> str:
        """Returns the version info of a response: its revision, and when that was made."""
        return f"{self.epoch}/{revision}/{self.revision_time_ms(revision):.1f}"

    @staticmethod
    def _check_node(request: Any) -> None:
        """Raises StreamError unless a stream's first request names its node."""
        if not request.node.id:
            raise StreamError(INVALID_ARGUMENT, "the first request names no node")

    def _handle_ack(self, request: Any, now_ms: float) -> RequestResult:
        """Records the acknowledgement or rejection that a request carries, if any."""
        nonce = request.response_nonce
        if not nonce:
            return RequestResult([], None)
        if request.HasField("error_detail"):
            reason = request.error_detail.message or f"code {request.error_detail.code}"
            return RequestResult([], self.tables.record_nack(self.proxy, nonce, reason, now_ms, self.sends_full_state))
        return RequestResult(self.tables.record_ack(self.proxy, nonce, now_ms), None)

    def _check_subscriptions(self, count: int) -> None:
        """Raises StreamError if a peer subscribes to more names of one type than allowed."""
        max_count = self.limits.max_subscriptions
        if count > max_count:
            raise StreamError(RESOURCE_EXHAUSTED, f"more than {max_count} names subscribed of one type")

    def _reject_type(self, request: Any, names: list[str], response: Any) -> None:
        """Queues an error response for a type that is not served; the stream stays open."""
        if request.response_nonce:
            return  # the acknowledgement of an earlier error response
        response.type_url, response.nonce = request.type_url, self._next_nonce()
        for name in names or ["*"]:
            error = response.resource_errors.add()
            error.resource_name.name = name
            error.error_detail.code = INVALID_ARGUMENT
            error.error_detail.message = f"this pilot serves no {request.type_url or 'resources without a type'}"
        self.errors.append(Response(response.SerializeToString(), 0, request.type_url, response.nonce, 0, 0))

    def _pop_errors(self) -> list[Response]:
        errors, self.errors = self.errors, []
        return errors
