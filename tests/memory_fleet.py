"""A controller core with in-memory delta streams to test proxies, and a small fleet; no sockets, simulated clock."""

from envoy.service.discovery.v3 import discovery_pb2

from quillstep.config.controller import ControllerSettings, LimitSettings
from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.config.scenario import ScenarioSettings
from quillstep.controller.core import ControllerCore
from quillstep.controller.events import EndpointListReceived
from quillstep.planner.messages import EndpointEntry
from quillstep.xds import resources
from quillstep.xds.delta import DeltaStream
from quillstep.xds.resources import CDS, EDS, EJECTED_COLLECTION, LDS, LEDS, RDS, Encoder

TIMES = {"agreed_ms": 400.0, "cut_off_ms": 1200.0, "work_ms": 20.0}
CLASSES = [
    ClassSettings(name="lookup", priority_weight=1.0, semantics="safe", share=0.7, **TIMES),
    ClassSettings(name="issue", priority_weight=3.0, semantics="unsafe", share=0.3, **TIMES),
]


def fleet(**overrides):
    return FleetSettings(**{"zones": ["a", "b"], "classes": CLASSES, **overrides})


def controller_settings(**overrides):
    base = {"name": "pilot-0", "seed": 7, "roster": "127.0.0.1:1", "fleet": fleet()}
    return ControllerSettings(**{**base, **overrides})


class MemoryProxy:
    """The proxy's side of a delta stream; `read` acknowledges unread responses, or rejects them if `rejects` is set."""

    def __init__(self, controller, name, zone="a", held=None):
        self.controller, self.name, self.zone = controller, name, zone
        self.versions = {} if held is None else held
        self.lines, self.rejects, self.unread = {}, False, []
        self.line_ms = self.busy_until_ms = 0.0  # time to apply a line; end of the last apply
        self.log, self.last_nonce = [], ""
        core, settings = controller.core, controller.core.settings
        self.stream = DeltaStream(core.tables, controller.encoder, settings.limits, "e", core.revision_time_ms)
        first = self.request(CDS)
        first.node.id = name
        reported = self.stream.initial_versions(first)
        self.stream.proxy = self.number = core.add_proxy(name, zone, 5.0, reported, not reported)
        self.send(first)
        self.send(self.request(LEDS, EJECTED_COLLECTION, *(f"{resources.COLLECTION}{t}/*" for t in self.held(CDS))))
        self.send(self.request(LDS))
        self.send(self.request(RDS, "exchanges"))
        self.send(self.request(EDS, *self.held(CDS)))

    def held(self, url):
        return self.versions.setdefault(url, {})

    def request(self, url, *names):
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)
        request.initial_resource_versions.update(self.held(url))
        return request

    def send(self, request):
        return self.stream.handle_request(request, self.controller.now)

    def pump(self):
        for response in self.stream.pump(self.controller.now):
            self.unread.append(discovery_pb2.DeltaDiscoveryResponse.FromString(response.message))
            if len(self.unread) == 1:
                self.busy_until_ms = self.controller.now

    def read(self, most=1000):
        """Applies and acknowledges, or rejects, up to `most` unread responses; returns how many."""
        done = 0
        while self.unread and done < most:
            response = self.unread[0]
            self.busy_until_ms += self.line_ms * (len(response.resources) + len(response.removed_resources))
            if self.busy_until_ms > self.controller.now:
                self.busy_until_ms -= self.line_ms * (len(response.resources) + len(response.removed_resources))
                break
            self.unread.pop(0)
            done += 1
            reply = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
            names = [resource.name for resource in response.resources]
            self.log.append((response.type_url, names, list(response.removed_resources)))
            subscriptions = []
            if self.rejects(response) if callable(self.rejects) else self.rejects:
                reply.error_detail.code, reply.error_detail.message = 3, "no"
            else:
                for resource in response.resources:
                    is_new = resource.name not in self.held(response.type_url)
                    self.held(response.type_url)[resource.name] = resource.version
                    if response.type_url == CDS and is_new:
                        subscriptions.append((EDS, resource.name))
                    if response.type_url == EDS and is_new:
                        subscriptions.append((LEDS, f"{resources.COLLECTION}{resource.name}/*"))
                for name in response.removed_resources:
                    self.held(response.type_url).pop(name, None)
            self.last_nonce = response.nonce
            self.send(reply)
            for url, name in subscriptions:
                self.send(discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=[name]))
            self.pump()
        return done

    def leave(self):
        self.controller.core.remove_proxy(self.number)
        self.controller.proxies.pop(self.name, None)


class MemoryController:
    """A controller core on a simulated clock."""

    def __init__(self, endpoints=6, settings=None, **limits):
        self.core = ControllerCore(settings or controller_settings(limits=LimitSettings(**limits)))
        self.encoder = Encoder(self.core.settings.fleet.classes, 0.8)
        self.now, self.proxies = 1000.0, {}
        self.core.now_ms = self.now
        self.receive_endpoint_list("complete", range(1, endpoints + 1))

    def receive_endpoint_list(self, kind, numbers, state="in_service", started=0.0):
        zones = self.core.settings.fleet.zones
        entries = [EndpointEntry(n, zones[n % len(zones)], state, 1.0, started) for n in numbers]
        addresses = {n: ("127.0.0.1", 9000 + n) for n in numbers}
        self.core.handle_endpoint_list(EndpointListReceived(kind, entries, addresses))
        self.core.record_arrival(self.now)

    def join(self, name, zone="a", held=None):
        self.proxies[name] = MemoryProxy(self, name, zone, held)
        return self.proxies[name]

    def run(self, ms, step=10.0, read=True):
        """Advances the clock in steps; proxies read their responses unless `read` is False."""
        until = self.now + ms
        while self.now < until:
            self.now += step
            self.core.step(self.now)
            for proxy in list(self.proxies.values()):
                proxy.pump()
                if read:
                    proxy.read()
            self.core.health_check_requests.clear()
        return self

    def queued_lines(self):
        return self.core.channel.queued_lines


def settled(proxies=1, **limits):
    """Returns a controller whose proxies hold the desired state."""
    controller = MemoryController(**limits)
    for at in range(proxies):
        controller.join(f"p{at}", "ab"[at % 2])
    return controller.run(3000)


def apply_update(controller, write):
    """Writes one update without the planner and releases it at once; returns each proxy's part."""
    tables = controller.core.tables
    tables.begin()
    write(tables)
    updates = tables.commit()
    for update in updates:
        tables.release(update.proxy, update.revision)
    return updates


def small_scenario(**overrides):
    """Returns a scenario with a small fleet, for tests with sockets."""
    proxy_settings = {"report_every_ms": 300.0, "dial_ms": 100.0, "standing": 2, "base_tries": 0}
    base = {
        "name": "small",
        "seconds": 4.0,
        "warm_up_s": 1.5,
        "fleet": {"zones": ["a", "b"], "classes": [row.model_dump() for row in CLASSES], "proxies": proxy_settings},
        "endpoints": [{"each_zone": 2}],
        "proxies": 4,
        "exchanges_per_s": 60.0,
        "roster_late_ms": 100.0,
        "baselines": [],
    }
    return ScenarioSettings.model_validate({**base, **overrides})
