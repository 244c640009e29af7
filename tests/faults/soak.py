"""One seeded run of a small fleet: real controller processes under faults, and the rules checked at the proxies.

Drawn by the seed: kills, planned restarts, signals in series, steps of wall clocks, failing system calls, restarts and
drains of endpoints, silent discovery, resets of streams, and a crowd of idle connections.  Beside these, strangers,
discovery and endpoints send bytes that cannot be decoded.  Proxies keep using their connections until these break.
"""

import contextlib
import random
import signal
import socket
import struct
import subprocess
import threading
import time
from collections import deque

from platform_peers import Client, Discovery, Endpoint, Process, Proxy, settings, upstream_stats, write_configuration

CONTROLLERS, PROXIES, ENDPOINTS = 2, 8, 12
FAULT_S = 9.0
WARM_UP_S, GRACE_S, SLACK_S = 12.0, 1.5, 0.3
CONVERGENCE_S = WARM_UP_S + 8.0  # every endpoint is warm, and proxies have settled
INITIAL_CAPACITY, OVERLOAD_MULTIPLE = 0.15, 3.0
READY_LIMIT_S, BARE_LIMIT_S = 10.0, 1.0
MAX_MESSAGES, MESSAGE_WINDOW_S = 20, 10.0
REDIAL_S = 0.25
CLOCK_STEPS_S = (-3600.0, -30.0, 0.0, 0.0, 5.0, 3600.0)
CALL_FAULTS = [
    ("accept", "ECONNABORTED"), ("accept", "ENFILE"), ("accept", "ENOBUFS"), ("accept", "ENOMEM"),
    ("connect", "EADDRNOTAVAIL"), ("connect", "ENETUNREACH"), ("connect", "ENOBUFS"), ("connect", "EHOSTUNREACH"),
    ("recv", "ENOMEM"), ("recv", "ETIMEDOUT"), ("send", "ENOBUFS"), ("setsockopt", "ENOBUFS"), ("poll", "ENOMEM"),
]  # fmt: skip
UNDECODABLE = [  # bodies of messages, lines of discovery, and load reports
    b'{"t":"attach","id":' + b"[" * 2000, b'{"t":"attach","id":' + b'{"a":' * 650 + b"1" + b"}" * 651,
    b'{"t":"attach","id":' + b"[" * 900 + b"]" * 900 + b"}", b'{"t":"hb","n":' + b"9" * 3000 + b"}",
    b'{"t":"\xff"}', b'{"t":"\\ud800"}', b'{"t":"attach","id":NaN}', b"{" * 3000, b"", b"\x00" * 50,
]  # fmt: skip
UNDECODABLE_INTERVAL_S = (0.1, 0.5)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class SoakProxy(Proxy):
    """A proxy that keeps the times of its messages, and its tables and ejections over streams.

    By the protocol, a proxy with an assigned table follows only the ejections of the controller that assigned it: those
    from earlier streams are dropped once every class has a table from this stream.
    """

    def __init__(self, address, number, zone, tables, ejected):
        self.message_times, self.joined_s = deque(), time.monotonic()
        self.violations, self.tables_held = [], tables
        self.inherited, self.assigned = set(ejected), set()
        super().__init__(address, number, zone, is_fresh=not tables, ejected=ejected)

    def apply(self, part):
        if self.tables_held:
            self.tables, self.tables_held = self.tables_held, None
        super().apply(part)
        self.inherited -= set(part.get("eject", ()))
        if part.get("full"):
            self.assigned |= set(part.get("routes") or self.tables)
        if self.assigned == set(self.tables):
            self.ejected -= self.inherited
            self.inherited = set()
        if not part.get("continued"):
            now_s = time.monotonic()
            self.message_times.append(now_s)
            while self.message_times[0] < now_s - MESSAGE_WINDOW_S:
                self.message_times.popleft()
            if len(self.message_times) > MAX_MESSAGES:
                self.violations.append(f"proxy {self.number}: {len(self.message_times)} messages in 10 s")

    def current_tables(self):
        return self.tables_held or self.tables

    def is_open(self):
        return not any(message is None for message in list(self.received.queue))


class Controller:
    """A controller's place: its address and agent stay, its processes come and go."""

    def __init__(self, folder, members, fleet):
        self.folder, self.fleet, self.process, self.address = folder, fleet, None, None
        self.discovery = Discovery(members)
        self.first_list = self.discovery.list()  # the list that a successor starts with may be old
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.listen = f"127.0.0.1:{free.getsockname()[1]}"

    def start(self, **faults):
        rules = {
            **settings()["rules"], "stopSendingWithin": int(GRACE_S * 1e6), "warmAfter": int(WARM_UP_S * 1e6),
            "startCapacity": INITIAL_CAPACITY, "fallMultiple": OVERLOAD_MULTIPLE,
        }  # fmt: skip
        path = write_configuration(
            self.folder, self.discovery.address, self.discovery.members, listen=self.listen,
            settings=settings(proxies=PROXIES, rules=rules), seed=f"{self.fleet.random.getrandbits(60):x}",
            known=self.fleet.random.choice([self.first_list, self.discovery.list()]),
        )  # fmt: skip
        started_s = time.monotonic()
        self.process = Process(path, **faults)
        try:
            self.address = self.process.wait_for_log("controller ready")["address"]
        except Exception:
            self.fleet.violations.append(f"controller not ready, status {self.process.process.poll()}")
            raise
        if time.monotonic() - started_s > READY_LIMIT_S:
            self.fleet.violations.append("controller not ready in 10 s")

    def kill(self):
        self.process.stop()

    def terminate(self):
        """Stop as planned: SIGTERM, now and then with other signals before and after it, and SIGKILL 0.7 s later."""
        for number in self.fleet.random.choice([(), (signal.SIGHUP,), (signal.SIGHUP, signal.SIGTERM)]):
            self.process.process.send_signal(number)
        self.process.process.send_signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            status = self.process.process.wait(0.7)
            if status != 0:
                self.fleet.violations.append(f"status {status} after SIGTERM")
        self.process.stop()


class Fleet:
    """The endpoints, the controllers, and a thread that observes the proxies' tables."""

    def __init__(self, folder, seed):
        self.random, self.violations, self.events = random.Random(seed), [], []
        self.bytes_random = random.Random(f"{seed}/bytes")  # apart, so that the faults of a seed stay the same
        self.lock = threading.RLock()
        self.endpoints = {f"s{index}": Endpoint(f"s{index}", "ab"[index % 2]) for index in range(ENDPOINTS)}
        self.started_s = {}  # true start of each endpoint that has restarted
        self.listed_s = {}  # when its current entry was published
        self.drained_s = {}
        self.controllers = []
        for index in range(CONTROLLERS):
            path = folder / f"c{index}"
            path.mkdir()
            self.controllers.append(Controller(path, [each.entry() for each in self.endpoints.values()], self))
        self.proxies, self.bare_since_s = {}, {}
        self.next_dial_s = dict.fromkeys(range(PROXIES), 0.0)
        self.collectors = {}

    # Faults

    def publish(self, entry):
        for controller in self.controllers:
            controller.discovery.publish(entry)

    def note(self, text):
        self.events.append((round(time.monotonic() - self.began_s, 2), text))

    def restart_endpoint(self):
        name = self.random.choice([name for name in self.endpoints if name not in self.drained_s])
        step_s = self.random.choice(CLOCK_STEPS_S)
        self.note(f"{name} restarts, listed with a step of {step_s:g} s")
        with self.lock:
            self.started_s[name] = self.listed_s[name] = time.monotonic()
        self.publish(self.endpoints[name].entry(up_since_ms=int((time.time() + step_s) * 1000.0)))

    def lose_endpoint(self):
        """An endpoint is listed as gone, and is back cold some time later."""
        name = self.random.choice([name for name in self.endpoints if name not in self.drained_s])
        self.note(f"{name} is gone for a while")
        self.publish(self.endpoints[name].entry("gone"))
        with self.lock:
            self.drained_s[name] = time.monotonic()
        time.sleep(self.random.uniform(0.2, 1.0))
        with self.lock:
            del self.drained_s[name]
            self.started_s[name] = self.listed_s[name] = time.monotonic()
        step_s = self.random.choice(CLOCK_STEPS_S)
        self.publish(self.endpoints[name].entry(up_since_ms=int((time.time() + step_s) * 1000.0)))

    def break_watches(self):
        self.note("discovery's connections break")
        for sock in self.random.choice(self.controllers).discovery.open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def drain_endpoint(self):
        in_service = [name for name in self.endpoints if name not in self.drained_s]
        if len(in_service) <= ENDPOINTS // 2:
            return
        name = self.random.choice(in_service)
        self.note(f"{name} drains")
        self.publish(self.endpoints[name].entry("draining"))
        with self.lock:
            self.drained_s[name] = time.monotonic()

    def restart_controller(self):
        controller = self.random.choice(self.controllers)
        is_planned = self.random.random() < 0.4
        faults = self.draw_plan()
        self.note(f"controller {'stopped' if is_planned else 'killed'} and started with {faults}")
        controller.terminate() if is_planned else controller.kill()
        time.sleep(self.random.choice([0.0, 0.3, 1.0]))
        controller.start(**faults)

    def restart_endpoint_and_controller(self):
        """Restart an endpoint while a controller is down: the successor has only the list to tell its age."""
        controller = self.random.choice(self.controllers)
        faults = self.draw_plan()
        self.note(f"controller killed and started with {faults}")
        controller.kill()
        self.restart_endpoint()
        controller.start(**faults)

    def draw_plan(self):
        plan = {"seed": self.random.getrandbits(32), "clock_steps": [[0.0, self.random.choice(CLOCK_STEPS_S)]]}
        if self.random.random() < 0.3:
            plan["clock_steps"].append([1.0, self.random.choice(CLOCK_STEPS_S)])
        if self.random.random() < 0.6:
            from_s = self.random.uniform(0.5, 2.0)
            plan["calls"] = [
                {"call": call, "errno": name, "share": self.random.choice([0.1, 0.5, 1.0]),
                 "from_s": from_s, "until_s": from_s + self.random.uniform(0.2, 1.0)}
                for call, name in self.random.sample(CALL_FAULTS, 2)
            ]  # fmt: skip
        if self.random.random() < 0.3:
            plan["short"] = 0.3
        return plan

    def reset_streams(self):
        self.note("streams reset")
        with self.lock:
            chosen = [proxy for proxy in self.proxies.values() if proxy and self.random.random() < 0.5]
        for proxy in chosen:
            with contextlib.suppress(OSError):
                proxy.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            proxy.close()

    def signal_series(self):
        controller = self.random.choice(self.controllers)
        self.note("SIGHUP in series")
        for _ in range(self.random.randint(1, 6)):
            controller.process.process.send_signal(signal.SIGHUP)
            time.sleep(self.random.choice([0.0, 0.01]))

    def silence_discovery(self):
        controller = self.random.choice(self.controllers)
        self.note("updates withheld for 0.5 s")
        controller.discovery.holds_updates = True
        time.sleep(0.5)
        controller.discovery.holds_updates = False

    def crowd(self):
        self.note("100 idle connections")
        address = self.random.choice(self.controllers).address
        clients = []
        for _ in range(100):
            with contextlib.suppress(OSError):
                clients.append(socket.create_connection(tuple_of(address), 1.0))
        time.sleep(0.2)
        for client in clients:
            client.close()

    def send_undecodable_bytes(self):
        """A stranger, discovery or an endpoint sends bytes that cannot be decoded."""
        draw = self.bytes_random
        controller, body = draw.choice(self.controllers), draw.choice(UNDECODABLE)
        match draw.choice(["stranger", "discovery", "endpoint"]):
            case "stranger":
                with contextlib.suppress(OSError, AttributeError):  # the controller is down, or was never up
                    stranger = Client(controller.address)
                    stranger.send(body)
                    stranger.close()
            case "discovery":
                controller.discovery.send_line(body.replace(b"\n", b""))
            case "endpoint":
                report = b"JSON " + body
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(report)}\r\n\r\n".encode()
                endpoint = draw.choice(list(self.endpoints.values()))
                endpoint.answer = lambda sock, path: sock.sendall(head + report)
                time.sleep(0.2)
                del endpoint.answer

    # Proxies

    def dial(self, number):
        """Connect a proxy that has no stream; it prefers its own controller, and brings the tables that it holds."""
        held = self.proxies.get(number)
        own = number % CONTROLLERS
        for index in (own, 1 - own):
            address = self.controllers[index].address
            if not address:
                continue
            tables = held.current_tables() if held else {}
            has_tables = any(tables.values())
            with contextlib.suppress(OSError):
                ejected = held.ejected if held else ()
                return SoakProxy(address, number, "ab"[number % 2], tables if has_tables else {}, ejected)
        return None

    def tick(self):
        now_s = time.monotonic()
        for number in range(PROXIES):
            proxy = self.proxies.get(number)
            if (proxy is None or not proxy.is_open()) and now_s >= self.next_dial_s[number]:
                self.next_dial_s[number] = now_s + REDIAL_S
                dialled = self.dial(number)
                if dialled:
                    if proxy:
                        self.violations += proxy.violations
                        proxy.close()
                    with self.lock:
                        self.proxies[number] = dialled
            elif proxy and proxy.is_open():
                self.check(number, proxy, now_s)
        self.report()

    def check(self, number, proxy, now_s):
        """Check the rules at one proxy that has a stream."""
        with self.lock:
            drained, started, listed = dict(self.drained_s), dict(self.started_s), dict(self.listed_s)
        tables = {name: dict(table) for name, table in proxy.current_tables().items()}
        ejected = set(proxy.ejected)
        for class_name, table in tables.items():
            usable = {name: weight for name, weight in table.items() if name not in ejected}
            self.check_not_bare((number, class_name), usable, proxy, now_s)
            for name, drained_s in drained.items():
                since_s = max(drained_s, proxy.joined_s)
                if name in usable and now_s > since_s + GRACE_S + SLACK_S:
                    self.violate(f"drain: {name} usable at proxy {number} {now_s - since_s:.2f} s after it was told")
            for name, started_s in started.items():
                known_s = max(listed[name], proxy.joined_s)
                if name in usable and len(usable) > 1 and now_s > known_s + GRACE_S + SLACK_S:
                    mean = sum(weight for other, weight in usable.items() if other != name) / (len(usable) - 1)
                    capacity = min(1.0, INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * (now_s - started_s) / WARM_UP_S)
                    if usable[name] > OVERLOAD_MULTIPLE * capacity * mean:
                        self.violate(
                            f"cold: {name} has {usable[name] / mean:.2f} of the mean at capacity {capacity:.2f}"
                        )

    def check_not_bare(self, key, usable, proxy, now_s):
        if usable or not any(proxy.current_tables().values()):
            self.bare_since_s.pop(key, None)
        elif now_s - self.bare_since_s.setdefault(key, now_s) > BARE_LIMIT_S + SLACK_S:
            self.violate(f"bare: {key}")

    def violate(self, text):
        if len(self.violations) < 20:
            self.violations.append(f"{time.monotonic() - self.began_s:.2f} s {text}")

    def report(self):
        """Send the reports of both zones to both controllers, as their collectors would."""
        for index, controller in enumerate(self.controllers):
            for zone in "ab":
                try:
                    collector = self.collectors.get((index, zone))
                    if collector is None:
                        collector = self.collectors[index, zone] = Client(controller.address)
                        collector.send({"t": "telemetry", "site": zone})
                    reports = [upstream_stats(zone, name, 20, 0) for name in self.endpoints]
                    collector.send(*({**each, "util": {"util": 0.4}} for each in reports))
                except OSError:
                    stale = self.collectors.pop((index, zone), None)
                    if stale:
                        stale.close()
        for proxy in self.proxies.values():
            with contextlib.suppress(OSError):
                proxy.report(30)

    # The run

    def run(self):
        self.began_s = time.monotonic()
        for controller in self.controllers:
            controller.start()
        stopping = threading.Event()

        def observe():
            while not stopping.wait(0.1):
                self.tick()

        def send_until_stopped():
            while not stopping.wait(self.bytes_random.uniform(*UNDECODABLE_INTERVAL_S)):
                if time.monotonic() - self.began_s < FAULT_S:
                    self.send_undecodable_bytes()

        helpers = [threading.Thread(target=observe), threading.Thread(target=send_until_stopped)]
        for helper in helpers:
            helper.start()
        try:
            time.sleep(1.5)
            faults = [
                self.restart_endpoint, self.restart_endpoint, self.drain_endpoint, self.restart_controller,
                self.restart_endpoint_and_controller, self.reset_streams, self.signal_series, self.silence_discovery,
                self.crowd, self.lose_endpoint, self.break_watches,
            ]  # fmt: skip
            while time.monotonic() - self.began_s < FAULT_S:
                self.random.choice(faults)()
                time.sleep(self.random.uniform(0.0, 0.6))
            self.await_convergence()
        finally:
            stopping.set()
            for helper in helpers:
                helper.join()
            self.close()
        for proxy in self.proxies.values():
            self.violations += proxy.violations
        return self.violations

    def await_convergence(self):
        """Wait until each proxy uses exactly the endpoints in service; a violation if that takes too long."""
        wanted = set(self.endpoints) - set(self.drained_s)
        deadline_s = time.monotonic() + CONVERGENCE_S
        while time.monotonic() < deadline_s:
            proxies = [self.proxies.get(number) for number in range(PROXIES)]
            if all(proxy and proxy.is_open() and set(proxy.usable_endpoints()) == wanted for proxy in proxies):
                return
            time.sleep(0.1)
        for number, proxy in sorted(self.proxies.items()):
            usable = set(proxy.usable_endpoints())
            self.violate(
                f"no convergence: proxy {number} lacks {sorted(wanted - usable)}, has {sorted(usable - wanted)}"
            )

    def close(self):
        for controller in self.controllers:
            if controller.process:
                status = controller.process.process.poll()
                if status is not None:
                    self.violations.append(f"a controller ended with status {status}")
                controller.kill()
            controller.discovery.close()
        for peer in (*self.proxies.values(), *self.collectors.values(), *self.endpoints.values()):
            peer.close()


def tuple_of(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
