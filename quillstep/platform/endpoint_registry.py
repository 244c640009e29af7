"""Which endpoints exist, by discovery, and where."""

from quillstep.platform.endpoint_list import Address, DiscoveryUpdate


class EndpointRegistry:
    """Addresses of the listed endpoints; belongs to the deciding thread.

    Endpoints that are no longer listed are remembered for a while: reports on them are still under way.
    """

    def __init__(self, retention_ms: float) -> None:
        """`retention_ms` is how long an endpoint that is no longer listed is remembered."""
        self.retention_ms = retention_ms
        self.addresses: dict[str, Address] = {}
        self.removed_ms: dict[str, float] = {}  # endpoints that are no longer listed, and since when

    def knows(self, endpoint: str) -> bool:
        """Return whether reports on an endpoint are to be taken."""
        return endpoint in self.addresses or endpoint in self.removed_ms

    def apply(self, update: DiscoveryUpdate, now_ms: float) -> None:
        """Take a list, or changes of it."""
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
