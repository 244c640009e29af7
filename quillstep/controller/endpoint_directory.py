"""Addresses, states and start times of the endpoints that discovery lists.  Performs no I/O."""

from quillstep.controller.events import EndpointListReceived
from quillstep.routing import Tables
from quillstep.routing.versioned_tables import VersionedTables


class EndpointDirectory:
    """Listed endpoints by number.

    Attributes:
        numbers: Endpoint numbers by address.
        states: The state of each endpoint in the endpoint list.
        started_ms: When each started, on the controller's clock; 0 if long ago.
        has_list: Whether an endpoint list has been received.
    """

    def __init__(self, initial_capacity: float, warm_up_ms: float) -> None:
        self.initial_capacity, self.warm_up_ms = initial_capacity, warm_up_ms
        self.numbers: dict[tuple[str, int], int] = {}
        self.states: dict[int, str] = {}
        self.started_ms: dict[int, float] = {}
        self.has_list = False
        self._new_addresses: list[tuple[int, str, int]] = []  # not yet passed to the tables

    def apply(self, event: EndpointListReceived) -> None:
        """Applies an endpoint list; one of kind `error` holds no entries."""
        for endpoint, (host, port) in event.addresses.items():
            self.numbers[host, port] = endpoint
            self._new_addresses.append((endpoint, host, port))
        for entry in event.entries:
            self.states[entry.endpoint], self.started_ms[entry.endpoint] = entry.state, entry.started_ms
        self.has_list = self.has_list or event.kind != "error"

    def update_addresses(self, tables: Tables) -> None:
        """Passes the addresses received since the last call to the tables."""
        for endpoint, host, port in self._new_addresses:
            tables.set_address(endpoint, host, port)
        self._new_addresses = []

    def update_states(self, tables: Tables, versioned_tables: VersionedTables, now_ms: float) -> None:
        """Passes to tables, versions and rollout gate which endpoints are in service and which are warming up."""
        warming_up = {
            endpoint: started_ms
            for endpoint, started_ms in self.started_ms.items()
            if started_ms and now_ms - started_ms < self.warm_up_ms
        }
        tables.saturation.warming_up = warming_up
        versioned_tables.now_ms = now_ms
        versioned_tables.endpoints.started_ms = self.started_ms
        versioned_tables.end_expired_recovery()
        in_service = {endpoint for endpoint, state in self.states.items() if state == "in_service"}
        versioned_tables.endpoints.in_service = in_service
        low = self.initial_capacity
        versioned_tables.endpoints.capacity_shares = {
            endpoint: low + (1.0 - low) * max(0.0, now_ms - started_ms) / self.warm_up_ms
            for endpoint, started_ms in warming_up.items()
        }
