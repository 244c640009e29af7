"""Stand-in proxies: they act on their tables alone, and many run in one process.

Each starts with an initial table, connects to a controller, follows it by xDS (delta or state of the world) or by
files, sends load reports, and handles the requests that its parent's script schedules.  It picks endpoints evenly by
weight, avoids an endpoint for a while after consecutive failures, observes the admission limits, and retries as its
routes say.  It records every request with its attempts, every update that it applied or rejected, and when a class was
without a usable endpoint.  Names in records and commands are those of the scenarios' stored data.
"""

import heapq
import itertools
import os
import queue
import random
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

from quillstep.net.clock import now_ms
from quillstep.net.threads import set_thread_stack_size
from quillstep.testbed.file_subscriber import FileSubscriber
from quillstep.testbed.load_reporting import LoadReporter, bucket_index
from quillstep.testbed.process import EventLog, answer, read_setup, serve
from quillstep.testbed.proxy_interface import Address, Route, RoutingState, TableEntry
from quillstep.testbed.xds_subscriber import DeltaSubscriber, SotwSubscriber, XdsSubscriber

MAX_WORKERS = 600
INITIAL_TABLE = "standing"  # name of the table that a proxy starts with, and version of its entries

ScheduledRequest = tuple[float, str, str, str]  # seconds from the start, proxy, class, request id


class TokenBucket:
    """A token bucket: `rate` tokens per second, at most `burst` of them at once.  It starts full."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.tokens, self.refilled_ms = rate, burst, burst, now_ms()

    def take(self) -> bool:
        """Take one token; return whether there was one."""
        now = now_ms()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_ms) * self.rate / 1000.0)
        self.refilled_ms = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ConnectionPool:
    """Idle connections to endpoints, by address.  One that has been idle for `idle_timeout_ms` is not used again."""

    def __init__(self, idle_timeout_ms: float, connect_timeout_ms: float) -> None:
        self.idle_timeout_ms, self.connect_timeout_ms = idle_timeout_ms, connect_timeout_ms
        self.idle: dict[Address, list[tuple[float, socket.socket]]] = {}  # start of idleness and connection
        self.lock = threading.Lock()

    def get(self, address: Address, remaining_ms: float) -> tuple[socket.socket, bool]:
        """Return a connection and whether it is new.

        Raises:
            OSError: The endpoint can't be reached within the connect time-out and the remaining time.
        """
        with self.lock:
            idle = self.idle.get(address, [])
            while idle:
                since, sock = idle.pop()
                if now_ms() - since < self.idle_timeout_ms:
                    return sock, False
                sock.close()
        sock = socket.create_connection(address, max(0.001, min(self.connect_timeout_ms, remaining_ms) / 1000.0))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, True

    def put(self, address: Address, sock: socket.socket) -> None:
        """Return a connection to the pool."""
        with self.lock:
            self.idle.setdefault(address, []).append((now_ms(), sock))

    def sweep(self) -> None:
        """Close connections that have reached the idle time-out."""
        with self.lock:
            for address, idle in self.idle.items():
                expired = [sock for since, sock in idle if now_ms() - since >= self.idle_timeout_ms]
                self.idle[address] = [row for row in idle if row[1] not in expired]
                for sock in expired:
                    sock.close()


class ClassStats:
    """Requests of one class at a proxy since its last report."""

    __slots__ = ("counts", "latencies")

    def __init__(self) -> None:
        self.counts = [0, 0, 0]  # arrived, unanswered, shed
        self.latencies: dict[int, tuple[int, float]] = {}  # count and total milliseconds by bucket

    def add_latency(self, latency_ms: float) -> None:
        """Count a request that succeeded."""
        bucket = bucket_index(latency_ms)
        count, total = self.latencies.get(bucket, (0, 0.0))
        self.latencies[bucket] = (count + 1, total + latency_ms)


class Proxy:
    """One proxy: its routing state, the endpoints that it avoids, and its stats since the last report.

    `lock` guards the routing state and the stats.
    """

    def __init__(self, setup: dict[str, Any], host: "Host") -> None:
        self.name, self.zone, self.requests_per_s = setup["name"], setup["zone"], setup["usual"]
        self.host = host
        self.lock = threading.RLock()
        self.draw = random.Random(setup["name"]).random
        self.initial_table: dict[str, TableEntry] = {
            str(number): (("127.0.0.1", port), 1.0, INITIAL_TABLE) for number, port in setup["standing"]
        }
        self.routing = RoutingState()
        # Smooth weighted round robin: current weights by table and entry.
        self.current_weights: dict[str, dict[str, float]] = {}
        self.consecutive_failures: dict[Address, int] = {}
        self.avoided_until_ms: dict[Address, float] = {}
        self.token_buckets: dict[str, tuple[float, TokenBucket]] = {}  # rate and bucket by class
        self.unroutable: dict[str, bool] = {}  # keyed by class
        self.connections = ConnectionPool(host.proxy_settings["idle_ms"], host.proxy_settings["connect_ms"])
        self.stalled_until_ms = 0.0
        # By endpoint: successes, failures, total milliseconds of the successes, load metrics by name.
        self.endpoint_stats: dict[Address, list[Any]] = {}
        self.class_stats: dict[str, ClassStats] = {}
        self.window_start_ms = now_ms()
        self.setup = setup
        self.incarnation = f"{self.name}.{os.getpid()}.{self.draw():.6f}"
        self.reporter = LoadReporter(self)
        self.uses_files = bool(setup.get("files"))
        self.subscriber: XdsSubscriber | FileSubscriber | None = self._make_subscriber() if setup["pilots"] else None

    def _make_subscriber(self) -> XdsSubscriber | FileSubscriber:
        if self.uses_files:
            return FileSubscriber(self, self.setup["roots"])
        return (SotwSubscriber if self.setup["sotw"] else DeltaSubscriber)(self, self.setup["pilots"])

    def switch_front(self) -> None:
        """Change from streams to files or back; the routing state is retained."""
        if self.subscriber:
            self.subscriber.stop()
            self.uses_files = not self.uses_files
            self.subscriber = self._make_subscriber()
            self.subscriber.start()

    def describe(self, node: Any) -> None:
        """Fill in the node of a stream's first request."""
        node.id, node.locality.zone = self.name, self.zone
        node.metadata.fields["usual"].number_value = self.requests_per_s
        node.metadata.fields["life"].string_value = self.incarnation

    def _stats_of(self, name: str) -> ClassStats:
        """Return the stats of a class; the caller holds the lock."""
        return self.class_stats.setdefault(name, ClassStats())

    def _table_of(self, route: Route | None) -> str:
        """Return the table that a route leads to now."""
        return route.table if route and route.table in self.routing.tables else INITIAL_TABLE

    def _entries(self, table: str) -> dict[str, TableEntry]:
        """Return a table's entries by name; none for a table that was removed."""
        return self.initial_table if table == INITIAL_TABLE else self.routing.tables.get(table, {})

    def pick(self, table: str, excluded: set[Address]) -> tuple[Address, str] | None:
        """Return address and version of the next entry by smooth weighted round robin.

        Avoided endpoints are picked only where there are no others; None if no endpoint is usable.
        """
        with self.lock:
            entries = self._entries(table)
            usable = {n: row for n, row in entries.items() if row[0] not in self.routing.ejected}
            usable = {n: row for n, row in usable.items() if row[0] not in excluded}
            now = now_ms()
            preferred = {n: row for n, row in usable.items() if self.avoided_until_ms.get(row[0], 0.0) <= now} or usable
            if not preferred:
                return None
            weights = self.current_weights.setdefault(table, {})
            total, best = 0.0, ""
            for name, row in preferred.items():
                weights[name] = weights.get(name, self.draw() * row[1]) + row[1]
                total += row[1]
                if not best or weights[name] > weights[best]:
                    best = name
            weights[best] -= total
            return preferred[best][0], preferred[best][2]

    def on_update_applied(self) -> None:
        """Record which classes have become unroutable or routable by an update."""
        with self.lock:
            for name in self.host.classes:
                entries = self._entries(self._table_of(self.routing.routes.get(name)))
                is_unroutable = all(row[0] in self.routing.ejected for row in entries.values())
                if is_unroutable != self.unroutable.get(name, False):
                    self.unroutable[name] = is_unroutable
                    self.host.record.put(what="bare", at=now_ms(), proxy=self.name, **{"class": name}, on=is_unroutable)
            used = set(self.routing.tables) | {INITIAL_TABLE}
            self.current_weights = {table: weights for table, weights in self.current_weights.items() if table in used}

    def _is_admitted(self, name: str) -> bool:
        route = self.routing.routes.get(name)
        if route is None:
            return True
        if route.closed:
            return False
        if route.rate is not None:
            limit = self.token_buckets.get(name)
            if limit is None or limit[0] != route.rate:
                limit = self.token_buckets[name] = (route.rate, TokenBucket(route.rate, max(1.0, route.burst)))
            with self.lock:
                return limit[1].take()
        drop_share = self.routing.drop_shares.get(route.table, {}).get(name, 0.0)
        return not drop_share or self.draw() >= drop_share

    def handle_request(self, due_ms: float, name: str, request: str) -> None:
        """Handle one request from its arrival to its end, and record it.

        Args:
            due_ms: When it was due, in milliseconds on the monotonic clock; its deadline counts from then.
            name: Its class.
            request: Its id.
        """
        settings = self.host.classes[name]
        with self.lock:
            self._stats_of(name).counts[0] += 1
        begun = now_ms()
        if self.stalled_until_ms > begun:
            time.sleep((self.stalled_until_ms - begun) / 1000.0)
        deadline = due_ms + settings["cut_off_ms"]
        row = {"what": "exchange", "at": due_ms, "proxy": self.name, "class": name, "exchange": request}
        if not self._is_admitted(name):
            with self.lock:
                self._stats_of(name).counts[2] += 1
            self.host.record.put(**row, end=now_ms(), outcome="refused", tries=[])
            return
        with self.lock:
            # A request keeps the route and table that it starts with: with a newer route, a retry could go to another
            # zone's endpoints.
            route, routes_version = self.routing.routes.get(name), self.routing.routes_version
            table = self._table_of(route)
        policy = route.retry_policy if route else self.host.default_retry_policy
        max_retries = self.host.max_retries(policy)
        attempts: list[tuple[str, float, float, str, str]] = []
        used: set[Address] = set()
        outcome = "failed"
        for number in itertools.count():
            picked = self.pick(table, used)
            if picked is None:
                outcome = outcome if attempts else "bare"
                break
            address, version = picked
            used.add(address)
            may_retry = number < max_retries and (number == 0 or policy == 3)
            timeout_ms = (
                route.attempt_timeout_ms if route and route.attempt_timeout_ms and may_retry else settings["cut_off_ms"]
            )
            sent = now_ms()
            ends = min(deadline, sent + timeout_ms)
            result, load = self._send_attempt(address, name, request, ends)
            attempts.append(("{}:{}".format(*address), sent, now_ms(), result, version))
            self._count_attempt(address, result == "ok", now_ms() - sent, load)
            if result == "ok":
                outcome = "ok"
                break
            never_ran = result == "no connection"
            # No retry with too little time left, or if the policy demands proof that the attempt never ran.
            if not may_retry or now_ms() + 0.1 * settings["agreed_ms"] > deadline or (policy == 1 and not never_ran):
                break
        with self.lock:
            if outcome == "ok":
                self._stats_of(name).add_latency(now_ms() - due_ms)
            else:
                self._stats_of(name).counts[1] += 1
        self.host.record.put(**row, end=now_ms(), outcome=outcome, tries=attempts, mode=policy, routes=routes_version)

    def _send_attempt(self, address: Address, name: str, request: str, ends: float) -> tuple[str, dict[str, float]]:
        """Send one attempt; return its result and load metrics.

        Only the result "no connection" proves that the attempt never ran.
        """
        try:
            sock, new = self.connections.get(address, ends - now_ms())
        except TimeoutError:
            return "no connection", {}
        except OSError:
            return "no connection", {}
        try:
            remaining_ms = ends - now_ms()
            head = f"POST /{name} HTTP/1.1\r\nHost: e\r\nx-exchange: {request}\r\nx-proxy: {self.name}\r\n"
            sock.settimeout(max(0.001, remaining_ms / 1000.0))
            sock.sendall(f"{head}x-time-left-ms: {remaining_ms:.1f}\r\nContent-Length: 0\r\n\r\n".encode())
            response = b""
            while b"\r\n\r\n" not in response:
                sock.settimeout(max(0.001, (ends - now_ms()) / 1000.0))
                data = sock.recv(4096)
                if not data:
                    sock.close()
                    return "reset", {}
                response += data
        except TimeoutError:
            sock.close()
            return "time-out", {}
        except OSError:
            sock.close()
            return "reset", {}
        self.connections.put(address, sock)
        text = response.decode("latin-1")
        return ("ok" if " 200 " in text[:16] else "error"), self._parse_load(text)

    @staticmethod
    def _parse_load(text: str) -> dict[str, float]:
        _, found, rest = text.partition("endpoint-load-metrics: TEXT ")
        if not found:
            return {}
        pairs = (pair.partition("=") for pair in rest.partition("\r\n")[0].split(","))
        return {name: float(value) for name, _, value in pairs}

    def _count_attempt(self, address: Address, succeeded: bool, took_ms: float, load: dict[str, float]) -> None:
        settings = self.host.proxy_settings
        with self.lock:
            row = self.endpoint_stats.setdefault(address, [0, 0, 0.0, {}])
            if succeeded:
                row[0] += 1
                row[2] += took_ms
                self.consecutive_failures.pop(address, None)
            else:
                row[1] += 1
                self.consecutive_failures[address] = self.consecutive_failures.get(address, 0) + 1
                if settings["ejects"] and self.consecutive_failures[address] >= settings["ejects"]:
                    self.avoided_until_ms[address] = now_ms() + settings["avoid_ms"]
                    self.consecutive_failures[address] = 0
            for name, value in load.items():
                metric = row[3].setdefault(name, [0, 0.0])
                metric[0] += 1
                metric[1] += value

    def drain_stats(self) -> tuple[dict[Address, list[Any]], dict[str, ClassStats], float]:
        """Return the stats by endpoint and by class since the last report, and the window in milliseconds."""
        with self.lock:
            endpoint_stats, class_stats, start_ms = self.endpoint_stats, self.class_stats, self.window_start_ms
            self.endpoint_stats, self.class_stats, self.window_start_ms = {}, {}, now_ms()
            return endpoint_stats, class_stats, self.window_start_ms - start_ms


class Script:
    """The schedule of all requests.  It depends on the seed alone, so that all arms of a scenario get the same ones."""

    def __init__(self, setup: dict[str, Any]) -> None:
        self.phases = setup["phases"]
        self.max_factor = max([1.0] + [phase["times"] for phase in self.phases])
        rows = setup["classes"]
        self.class_names = [row["name"] for row in rows]
        self.cumulative_shares = list(itertools.accumulate(row["share"] for row in rows))
        self.seconds = setup["seconds"]
        self.random_by_proxy = {
            row["name"]: random.Random(f"{setup['seed']} {row['name']}") for row in setup["proxies"]
        }
        self.rates = {row["name"]: row["usual"] for row in setup["proxies"]}

    def _rate_factor(self, at_s: float) -> float:
        """Return by how much the phase at a time multiplies all rates; 1 outside the phases."""
        factors = [p["times"] for p in self.phases if p["at_s"] <= at_s < p["at_s"] + p["for_s"]]
        return factors[-1] if factors else 1.0

    def _requests_of(self, proxy: str) -> Iterator[ScheduledRequest]:
        """Yield a proxy's requests in order of time: arrivals at the highest rate, thinned out to the current one."""
        rng, at_s = self.random_by_proxy[proxy], 0.0
        rate = self.rates[proxy] * self.max_factor
        for count in itertools.count():
            at_s += rng.expovariate(rate) if rate > 0 else float("inf")
            if at_s >= self.seconds:
                return
            is_selected = rng.random() < self._rate_factor(at_s) / self.max_factor
            name = rng.choices(self.class_names, cum_weights=self.cumulative_shares)[0]
            if is_selected:
                yield at_s, proxy, name, f"{proxy}-{count}"

    def requests(self) -> Iterator[ScheduledRequest]:
        """Return the requests of all proxies in order of time."""
        return heapq.merge(*(self._requests_of(proxy) for proxy in self.random_by_proxy))


class TracedEventLog(EventLog):
    """An event log that also records requests and updates as spans."""

    def __init__(self, path: str, spans: dict[str, Any]) -> None:
        super().__init__(path)
        from quillstep.tracing.spans import SpanRecorder  # the tracing library is needed only where spans are recorded

        self.spans = SpanRecorder(spans["file"], spans["part"], spans["most_per_s"], spans["service"])

    def put(self, **fields: Any) -> None:
        """Append a line; a request or an update is recorded as a span too."""
        super().put(**fields)
        if fields["what"] == "exchange":
            self.spans.record_request(fields)
        elif fields["what"] in ("applied", "refused"):
            self.spans.record_application(fields["proxy"], fields)

    def close(self) -> None:
        """Write out what is left, and end the span recorder."""
        super().close()
        self.spans.close()


class Host:
    """All proxies of this process, and the threads that handle their requests and send their load reports."""

    def __init__(self, setup: dict[str, Any]) -> None:
        set_thread_stack_size()
        self.classes = {row["name"]: row for row in setup["classes"]}
        self.proxy_settings = setup["knobs"]
        self.default_retry_policy = self.proxy_settings["base_tries"]
        self.admits_by_rate = self.proxy_settings["admission"] == "rate"
        self.record = TracedEventLog(setup["record"], setup["spans"]) if setup["spans"] else EventLog(setup["record"])
        self.script = Script(setup)
        self.proxies = {row["name"]: Proxy(row, self) for row in setup["proxies"]}
        self.queue: queue.SimpleQueue[tuple[str, float, str, str]] = queue.SimpleQueue()
        self.idle_workers = 0
        self.workers = 0
        for proxy in self.proxies.values():
            if proxy.subscriber:
                proxy.subscriber.start()
        threading.Thread(target=self._send_reports, daemon=True).start()
        answer(ready=len(self.proxies))

    @staticmethod
    def max_retries(policy: int) -> int:
        """Return how many retries a policy allows, by the policy's number."""
        return 2 if policy == 3 else 1 if policy else 0

    def _send_reports(self) -> None:
        """Make each proxy report at its interval; the proxies' reports are spread over the interval."""
        period = self.proxy_settings["report_every_ms"]
        proxies = list(self.proxies.values())
        due = [(now_ms() + period * index / max(1, len(proxies)), index) for index in range(len(proxies))]
        while due:
            due_ms, index = due[0]
            time.sleep(max(0.0, due_ms - now_ms()) / 1000.0)
            proxies[index].connections.sweep()
            period = proxies[index].reporter.tick()
            heapq.heapreplace(due, (max(due_ms + period, now_ms()), index))

    def _play_script(self, begin_ms: float) -> None:
        """Pass each request of the script to a worker at its time."""
        for at_s, proxy, name, request in self.script.requests():
            due_ms = begin_ms + at_s * 1000.0
            wait = due_ms - now_ms()
            if wait > 0:
                time.sleep(wait / 1000.0)
            self.queue.put((proxy, due_ms, name, request))
            if self.idle_workers <= self.queue.qsize() and self.workers < MAX_WORKERS:
                self.workers += 1
                threading.Thread(target=self._work, daemon=True).start()
        time.sleep(max(row["cut_off_ms"] for row in self.classes.values()) / 1000.0)
        self.record.flush()
        answer(done="script")

    def _work(self) -> None:
        while True:
            self.idle_workers += 1
            proxy, due_ms, name, request = self.queue.get()
            self.idle_workers -= 1
            self.proxies[proxy].handle_request(due_ms, name, request)

    def handle_command(self, command: dict[str, Any]) -> None:
        """Apply a command of the parent, record and answer it.

        A fault lasts for the command's `for_ms`; `factor` says how strong it is.
        """
        do = command["do"]
        if do == "run":
            threading.Thread(target=self._play_script, args=(command["begin_ms"],), daemon=True).start()
            return
        proxy = self.proxies[command["proxy"]]
        until = now_ms() + command.get("for_ms", 0.0)
        if do == "stall":
            proxy.stalled_until_ms = until
        if do == "moves":
            threading.Thread(target=proxy.switch_front, daemon=True).start()
        elif do == "reports_late":
            proxy.reporter.delay_until_ms, proxy.reporter.delay_ms = until, 1000.0 * command["factor"]
        elif do == "reports_heavy":
            proxy.reporter.padded_until_ms = until
        elif do == "reports_cut":
            proxy.reporter.disconnected_until_ms = until
        elif proxy.subscriber:
            self._apply_to_subscriber(proxy, proxy.subscriber, command, until)
        self.record.put(what="command", at=now_ms(), proxy=proxy.name, do=do, until=until)
        answer(done=do, proxy=proxy.name)

    @staticmethod
    def _apply_to_subscriber(
        proxy: Proxy, subscriber: XdsSubscriber | FileSubscriber, command: dict[str, Any], until: float
    ) -> None:
        do = command["do"]
        if do == "cut":
            subscriber.disconnect(until)
            proxy.reporter.disconnected_until_ms = until
        elif do == "refuse":
            subscriber.reject_until_ms = until
        elif do in ("reads_nothing", "stall"):
            subscriber.stalled_until_ms = until
        elif isinstance(subscriber, FileSubscriber):
            pass  # the other faults concern messages on a stream
        elif do == "slow_lines":
            subscriber.slow_until_ms, subscriber.slow_line_ms = until, command["factor"]
        elif do == "late_words":
            subscriber.delay_until_ms, subscriber.delay_ms = until, 1000.0 * command["factor"]
        elif do == "loses":
            subscriber.responses_to_lose = int(command["factor"])


def main() -> None:
    """Run the proxies that the parent sets up."""
    host = Host(read_setup())
    serve(host.handle_command, host.record)


if __name__ == "__main__":
    main()
