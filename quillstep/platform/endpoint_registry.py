"""Addresses of the endpoints that discovery lists."""

from quillstep.platform.endpoint_list import Address, DiscoveryUpdate


class EndpointRegistry:
    """Addresses of the listed endpoints; used by the deciding thread only.

    Removed endpoints stay known for `retention_ms`, since reports on them may still be in flight.
    """

    def __init__(self, retention_ms: float) -> None:
        """Create an empty registry; `retention_ms` is how long a removed endpoint stays known."""
        self.retention_ms = retention_ms
        self.addresses: dict[str, Address] = {}
        self.removed_ms: dict[str, float] = {}  # removal times of endpoints that are no longer listed

    def is_known(self, endpoint: str) -> bool:
        """Return whether an endpoint is listed or was removed recently, so that reports on it are accepted."""
        return endpoint in self.addresses or endpoint in self.removed_ms

    def apply(self, update: DiscoveryUpdate, now_ms: float) -> None:
        """Apply a complete list or changes to it; `now_ms` is the current time on the monotonic clock."""
        current = {entry.endpoint for entry in update.entries if entry.state != "terminated"}
        removed = {entry.endpoint for entry in update.entries} - current
        if update.kind == "complete":
            removed |= self.addresses.keys() - current
        for endpoint in removed:
            if self.addresses.pop(endpoint, None):
                self.removed_ms[endpoint] = now_ms
        self.addresses.update({endpoint: update.addresses[endpoint] for endpoint in current})
        self.removed_ms = {
            endpoint: removed_ms
            for endpoint, removed_ms in self.removed_ms.items()
            if now_ms - removed_ms < self.retention_ms and endpoint not in current
        }
