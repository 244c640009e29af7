"""The joined proxies and the front that serves each.  Performs no I/O."""

from typing import Protocol


class ProxyFrontInterface(Protocol):
    """What the registry needs of a front."""

    def drop(self, proxy: int, reason: str, now_ms: float) -> None:
        """Stops serving a proxy, for example by closing its stream."""


class ProxyRegistry:
    """Proxies by number; a node name keeps its number for the life of the process.

    Attributes:
        numbers: Numbers by node name, of all proxies that have ever joined.
        zones: The zone of each joined proxy.
    """

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self.zones: dict[int, str] = {}
        self._fronts: dict[int, ProxyFrontInterface | None] = {}

    def joined_number(self, node: str) -> int | None:
        """Returns the number of a joined proxy, or None."""
        number = self.numbers.get(node)
        return number if number in self.zones else None

    def add(self, node: str, zone: str, front: ProxyFrontInterface | None, now_ms: float) -> int:
        """Registers a proxy and returns its number; a different front that serves it drops it first."""
        joined = self.joined_number(node)
        previous = self._fronts.get(joined) if joined is not None else None
        if joined is not None and previous is not None and previous is not front:
            previous.drop(joined, "the proxy moved to another front", now_ms)
        number = self.numbers.setdefault(node, len(self.numbers))
        self.zones[number] = zone
        self._fronts[number] = front
        return number

    def remove(self, number: int) -> None:
        """Removes a proxy that has left."""
        self.zones.pop(number, None)
        self._fronts.pop(number, None)
