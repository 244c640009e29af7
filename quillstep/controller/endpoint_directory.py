"""What a controller knows of listed endpoints beside its planner: addresses, states, starts.  Without I/O."""

from quillstep.controller.events import EndpointListReceived
from quillstep.routing import Tables
from quillstep.routing.versioned_tables import VersionedTables


class EndpointDirectory:
    """Listed endpoints by number.

    Attributes:
        numbers: Endpoints by address.
        states: The state that discovery gives each.
        started_ms: When each started, on the controller's clock; 0 means long ago.
        is_known: Whether discovery has answered.
    """

    def __init__(self, initial_capacity: float, warm_up_ms: float) -> None:
        self.initial_capacity, self.warm_up_ms = initial_capacity, warm_up_ms
        self.numbers: dict[tuple[str, int], int] = {}
        self.states: dict[int, str] = {}
        self.started_ms: dict[int, float] = {}
        self.is_known = False
        self._moved: list[tuple[int, str, int]] = []  # addresses that the tables have not been given yet

    def apply(self, event: EndpointListReceived) -> None:
        """Takes in an answer of discovery."""
        for endpoint, (host, port) in event.addresses.items():
            self.numbers[host, port] = endpoint
            self._moved.append((endpoint, host, port))
        for entry in event.entries:
            self.states[entry.endpoint], self.started_ms[entry.endpoint] = entry.state, entry.started_ms
        self.is_known = self.is_known or event.kind != "error"

    def update_addresses(self, tables: Tables) -> None:
        """Gives the tables what addresses have changed since the last call."""
        for endpoint, host, port in self._moved:
            tables.set_address(endpoint, host, port)
        self._moved = []

    def update_states(self, tables: Tables, versioned_tables: VersionedTables, now_ms: float) -> None:
        """Gives tables, versions and rollout gate what they go by: which endpoints serve, and which are warming up."""
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
