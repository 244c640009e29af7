"""Changes to the resources that a proxy holds: to be sent, in flight, and rejected."""

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from quillstep.routing.resources import EJECTED, Key, Resource


class Change(NamedTuple):
    """A key and the resource that the proxy should hold under it; None: the key is to be removed."""

    key: Key
    resource: Resource | None

    @property
    def is_urgent(self) -> bool:
        """Whether this is an ejection, which never waits for other changes."""
        return self.key[0] == EJECTED and self.resource is not None


class Nack(NamedTuple):
    """Changes that a proxy rejected, and the reason that it gave.

    `is_isolated`: the update had a single change or cannot be split, so the fault cannot be narrowed down further.
    An isolated weight is not sent again until it changes; other kinds are sent again after a backoff.
    """

    changes: list[Change]
    reason: str
    is_isolated: bool


class InFlightVersion(msgspec.Struct, frozen=True, gc=False):
    """A key's newest version in flight (None: its removal), its nonce, and the revision since which it was pending."""

    version: str | None
    nonce: str
    revision: int


@dataclass(slots=True)
class InFlightUpdate:
    """Changes that were sent as one response and wait for its acknowledgement.

    Responses of one `type_url` are acknowledged in sequence; an empty `type_url` implies no sequence.
    """

    changes: list[Change]
    revision: int  # the newest revision that the changes belong to
    sent_ms: float
    type_url: str = ""
    probes: int = 0  # empty responses sent after this update to find out whether it was lost


class AwaitedAck(NamedTuple):
    """An acknowledgement that the planner requested: its serial, and the revision's keys not yet acknowledged."""

    revision: int
    serial: int
    keys: set[Key]


def split_keys(keys: list[Key]) -> list[list[Key]]:
    """Returns the parts in which a rejected update is sent again: ejections and the rest, or else halves."""
    ejections = [key for key in keys if key[0] == EJECTED]
    others = [key for key in keys if key[0] != EJECTED]
    if ejections and others:
        return [ejections, others]
    if len(keys) < 2:
        return [keys]
    return [keys[: len(keys) // 2], keys[len(keys) // 2 :]]
