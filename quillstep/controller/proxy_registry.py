"""Which proxies are joined, by what front.  Without I/O."""

from typing import Protocol


class ProxyFrontInterface(Protocol):
    """A front, as the registry sees it."""

    def drop(self, proxy: int, reason: str, now_ms: float) -> None:
        """Ends what carries to a proxy."""


class ProxyRegistry:
    """Proxies by number; a number stays with its node name for good.

    Attributes:
        numbers: Numbers by node name, of all proxies that ever joined.
        zones: The zone of each joined proxy.
    """

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self.zones: dict[int, str] = {}
        self._fronts: dict[int, ProxyFrontInterface | None] = {}

    def joined_number(self, node: str) -> int | None:
        """The number of a proxy that is joined."""
        number = self.numbers.get(node)
        return number if number in self.zones else None

    def add(self, node: str, zone: str, front: ProxyFrontInterface | None, now_ms: float) -> int:
        """Registers a proxy; another front that carries to it drops it first."""
        joined = self.joined_number(node)
        before = self._fronts.get(joined) if joined is not None else None
        if joined is not None and before is not None and before is not front:
            before.drop(joined, "it has moved to another front", now_ms)
        number = self.numbers.setdefault(node, len(self.numbers))
        self.zones[number] = zone
        self._fronts[number] = front
        return number

    def remove(self, number: int) -> None:
        """Removes a proxy that has left."""
        self.zones.pop(number, None)
        self._fronts.pop(number, None)
