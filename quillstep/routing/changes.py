"""Changes of what a proxy holds: to be sent, in flight, and rejected."""

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from quillstep.routing.resources import EJECTED, Key, Resource


class Change(NamedTuple):
    """A resource to hold from now on; None: the key is to be removed."""

    key: Key
    resource: Resource | None

    @property
    def is_urgent(self) -> bool:
        """Whether it is an ejection, which waits for no other change."""
        return self.key[0] == EJECTED and self.resource is not None


class Nack(NamedTuple):
    """Changes that a proxy rejected, and its reason.

    `is_isolated`: nothing else was rejected with it, so that it is known to be at fault.  A weight is not sent again
    until it changes, all else after a backoff.
    """

    changes: list[Change]
    reason: str
    is_isolated: bool


class InFlightVersion(msgspec.Struct, frozen=True, gc=False):
    """A key's newest version in flight (None: its removal), its nonce, and since which revision it was pending."""

    version: str | None
    nonce: str
    revision: int


@dataclass(slots=True)
class InFlightUpdate:
    """Changes that were sent as one response and wait for its acknowledgement.

    Responses of one `type_url` are acknowledged in sequence; where it is empty, in none.
    """

    changes: list[Change]
    revision: int  # the newest in it
    sent_ms: float
    type_url: str = ""
    probes: int = 0  # empty responses that were sent after it, to learn whether it was lost


class AwaitedAck(NamedTuple):
    """An acknowledgement that the planner asked for: its serial, and the keys of the revision that are not held yet."""

    revision: int
    serial: int
    keys: set[Key]


def split_keys(keys: list[Key]) -> list[list[Key]]:
    """Returns the parts in which a rejected update is tried again: ejections and the rest, or else halves."""
    ejections = [key for key in keys if key[0] == EJECTED]
    others = [key for key in keys if key[0] != EJECTED]
    if ejections and others:
        return [ejections, others]
    if len(keys) < 2:
        return [keys]
    return [keys[: len(keys) // 2], keys[len(keys) // 2 :]]
