"""A pilot's core with proxies that speak its streams in memory, and a fleet to run it on; no sockets, own clock."""

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


def fleet(**other):
    return FleetSettings(**{"zones": ["a", "b"], "classes": CLASSES, **other})


def pilot_record(**other):
    base = {"name": "pilot-0", "seed": 7, "roster": "127.0.0.1:1", "fleet": fleet()}
    return ControllerSettings(**{**base, **other})


class MemoryProxy:
    """A proxy at the far end of a delta stream; `read` answers what waits, as its switches say."""

    def __init__(self, pilot, name, zone="a", held=None):
        self.pilot, self.name, self.zone = pilot, name, zone
        self.versions = {} if held is None else held
        self.lines, self.refuses, self.waits = {}, False, []
        self.line_ms = self.free_ms = 0.0  # what a line takes to apply; when the last one was
        self.log, self.last = [], ""
        core, record = pilot.core, pilot.core.settings
        self.stream = DeltaStream(core.tables, pilot.encoder, record.limits, "e", core.revision_time_ms)
        first = self.request(CDS)
        first.node.id = name
        told = self.stream.initial_versions(first)
        self.stream.proxy = self.number = core.add_proxy(name, zone, 5.0, told, not told)
        self.say(first)
        self.say(self.request(LEDS, EJECTED_COLLECTION, *(f"{resources.COLLECTION}{t}/*" for t in self.held(CDS))))
        self.say(self.request(LDS))
        self.say(self.request(RDS, "exchanges"))
        self.say(self.request(EDS, *self.held(CDS)))

    def held(self, url):
        return self.versions.setdefault(url, {})

    def request(self, url, *names):
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)
        request.initial_resource_versions.update(self.held(url))
        return request

    def say(self, request):
        return self.stream.handle_request(request, self.pilot.now)

    def pump(self):
        for response in self.stream.pump(self.pilot.now):
            self.waits.append(discovery_pb2.DeltaDiscoveryResponse.FromString(response.message))
            if len(self.waits) == 1:
                self.free_ms = self.pilot.now

    def read(self, most=1000):
        """Apply and acknowledge, or refuse, what waits; returns how many."""
        done = 0
        while self.waits and done < most:
            response = self.waits[0]
            self.free_ms += self.line_ms * (len(response.resources) + len(response.removed_resources))
            if self.free_ms > self.pilot.now:
                self.free_ms -= self.line_ms * (len(response.resources) + len(response.removed_resources))
                break
            self.waits.pop(0)
            done += 1
            word = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
            names = [resource.name for resource in response.resources]
            self.log.append((response.type_url, names, list(response.removed_resources)))
            follow = []
            if self.refuses(response) if callable(self.refuses) else self.refuses:
                word.error_detail.code, word.error_detail.message = 3, "no"
            else:
                for resource in response.resources:
                    fresh = resource.name not in self.held(response.type_url)
                    self.held(response.type_url)[resource.name] = resource.version
                    if response.type_url == CDS and fresh:
                        follow.append((EDS, resource.name))
                    if response.type_url == EDS and fresh:
                        follow.append((LEDS, f"{resources.COLLECTION}{resource.name}/*"))
                for name in response.removed_resources:
                    self.held(response.type_url).pop(name, None)
            self.last = response.nonce
            self.say(word)
            for url, name in follow:
                self.say(discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=[name]))
            self.pump()
        return done

    def leave(self):
        self.pilot.core.remove_proxy(self.number)
        self.pilot.proxies.pop(self.name, None)


class MemoryPilot:
    """A core on a clock of its own."""

    def __init__(self, endpoints=6, record=None, **limits):
        self.core = ControllerCore(record or pilot_record(limits=LimitSettings(**limits)))
        self.encoder = Encoder(self.core.settings.fleet.classes, 0.8)
        self.now, self.proxies = 1000.0, {}
        self.core.now_ms = self.now
        self.roster("complete", range(1, endpoints + 1))

    def roster(self, kind, numbers, state="in_service", started=0.0):
        zones = self.core.settings.fleet.zones
        entries = [EndpointEntry(n, zones[n % len(zones)], state, 1.0, started) for n in numbers]
        addresses = {n: ("127.0.0.1", 9000 + n) for n in numbers}
        self.core.handle_endpoint_list(EndpointListReceived(kind, entries, addresses))
        self.core.record_arrival(self.now)

    def join(self, name, zone="a", held=None):
        self.proxies[name] = MemoryProxy(self, name, zone, held)
        return self.proxies[name]

    def run(self, ms, step=10.0, read=True):
        """Let time pass; proxies read unless told not to."""
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

    def waiting(self):
        return self.core.channel.queued_lines


def settled(proxies=1, **limits):
    """A pilot whose proxies hold what they should."""
    pilot = MemoryPilot(**limits)
    for at in range(proxies):
        pilot.join(f"p{at}", "ab"[at % 2])
    return pilot.run(3000)


def order(pilot, write):
    """One order by hand, past the module, sent at once."""
    tables = pilot.core.tables
    tables.begin()
    write(tables)
    pushes = tables.commit()
    for push in pushes:
        tables.release(push.proxy, push.revision)
    return pushes


def small_day(**other):
    """A day of a small fleet for tests on sockets."""
    knobs = {"report_every_ms": 300.0, "dial_ms": 100.0, "standing": 2, "base_tries": 0}
    base = {
        "name": "small",
        "seconds": 4.0,
        "warm_up_s": 1.5,
        "fleet": {"zones": ["a", "b"], "classes": [row.model_dump() for row in CLASSES], "proxies": knobs},
        "endpoints": [{"each_zone": 2}],
        "proxies": 4,
        "exchanges_per_s": 60.0,
        "roster_late_ms": 100.0,
        "baselines": [],
    }
    return ScenarioSettings.model_validate({**base, **other})
