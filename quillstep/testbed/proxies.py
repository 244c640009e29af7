"""Stand-in proxies: they do what their tables say and nothing else, many a process.

Each starts with a standing table, dials a pilot, follows its xDS stream (delta or state of the world), sends load
reports, and carries exchanges that its parent's script brings to it: picks evenly by weight, keeps away from an
endpoint after a run of its own failures, holds to the levels, tries again exactly as ordered.  It writes down every
exchange with every try, every version that it applied or refused, and when it had no line left to pick.
"""

import heapq
import itertools
import os
import queue
import random
import socket
import threading
import time
from typing import Any

from quillstep.net.clock import now_ms
from quillstep.testbed.file_subscriber import FileSubscriber
from quillstep.testbed.load_reporting import LoadReporter, bucket
from quillstep.testbed.process import STACK_BYTES, EventLog, answer, read_setup, serve
from quillstep.testbed.proxy_interface import Address, HeldTables, Route
from quillstep.testbed.xds_subscriber import DeltaSubscriber, SotwSubscriber, XdsSubscriber

MAX_WORKERS = 600
STANDING = "standing"  # the table that a proxy starts with, and the version of its lines


class Bucket:
    """A rate: whole tokens that come evenly, a few may gather."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.held, self.at = rate, burst, burst, now_ms()

    def take(self) -> bool:
        now = now_ms()
        self.held = min(self.burst, self.held + (now - self.at) * self.rate / 1000.0)
        self.at = now
        if self.held < 1.0:
            return False
        self.held -= 1.0
        return True


class Connections:
    """Idle connections to endpoints, by address; none is used after it has idled for too long."""

    def __init__(self, idle_ms: float, connect_ms: float) -> None:
        self.idle_ms, self.connect_ms = idle_ms, connect_ms
        self.idle: dict[Address, list[tuple[float, socket.socket]]] = {}
        self.lock = threading.Lock()

    def get(self, address: Address, left_ms: float) -> tuple[socket.socket, bool]:
        """A connection and whether it is a new one; raises OSError."""
        with self.lock:
            held = self.idle.get(address, [])
            while held:
                since, sock = held.pop()
                if now_ms() - since < self.idle_ms:
                    return sock, False
                sock.close()
        sock = socket.create_connection(address, max(0.001, min(self.connect_ms, left_ms) / 1000.0))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, True

    def put(self, address: Address, sock: socket.socket) -> None:
        with self.lock:
            self.idle.setdefault(address, []).append((now_ms(), sock))

    def sweep(self) -> None:
        """Close what has idled too long."""
        with self.lock:
            for address, held in self.idle.items():
                old = [sock for since, sock in held if now_ms() - since >= self.idle_ms]
                self.idle[address] = [row for row in held if row[1] not in old]
                for sock in old:
                    sock.close()


class ClassCounts:
    """What one class met at a proxy since its last report: arrived, unanswered, refused; times by bucket."""

    __slots__ = ("counts", "took")

    def __init__(self) -> None:
        self.counts = [0, 0, 0]
        self.took: dict[int, tuple[int, float]] = {}  # count and summed time

    def answered(self, took_ms: float) -> None:
        at = bucket(took_ms)
        count, total = self.took.get(at, (0, 0.0))
        self.took[at] = (count + 1, total + took_ms)


class Proxy:
    """One proxy: its tables, what it avoids, its sums since the last report."""

    def __init__(self, row: dict[str, Any], host: "Host") -> None:
        self.name, self.zone, self.usual = row["name"], row["zone"], row["usual"]
        self.host = host
        self.lock = threading.RLock()
        self.draw = random.Random(row["name"]).random
        self.standing: dict[str, tuple[Address, float, str]] = {
            str(number): (("127.0.0.1", port), 1.0, STANDING) for number, port in row["standing"]
        }
        self.held = HeldTables()
        self.turns: dict[str, dict[str, float]] = {}  # smooth weighted turns, by table and line
        self.fails: dict[Address, int] = {}
        self.avoids: dict[Address, float] = {}
        self.buckets: dict[str, tuple[float, Bucket]] = {}
        self.bare: dict[str, bool] = {}
        self.connections = Connections(host.proxies["idle_ms"], host.proxies["connect_ms"])
        self.stalled_ms = 0.0
        self.sums: dict[Address, list] = {}  # good, failed, good_ms, load sums by name
        self.came: dict[str, ClassCounts] = {}
        self.reported_ms = now_ms()
        self.row = row
        self.life = f"{self.name}.{os.getpid()}.{self.draw():.6f}"
        self.reporter = LoadReporter(self)
        self.by_files = bool(row.get("files"))
        self.subscriber: XdsSubscriber | FileSubscriber | None = self.follow() if row["pilots"] else None

    def follow(self) -> XdsSubscriber | FileSubscriber:
        """How it follows its pilots now: by files, by deltas, by whole states."""
        if self.by_files:
            return FileSubscriber(self, self.row["roots"])
        return (SotwSubscriber if self.row["sotw"] else DeltaSubscriber)(self, self.row["pilots"])

    def move(self) -> None:
        """Leave one front for the other, with all that it holds."""
        if self.subscriber:
            self.subscriber.end()
            self.by_files = not self.by_files
            self.subscriber = self.follow()
            self.subscriber.start()

    def describe(self, node: Any) -> None:
        """Who this is, in a first request."""
        node.id, node.locality.zone = self.name, self.zone
        node.metadata.fields["usual"].number_value = self.usual
        node.metadata.fields["life"].string_value = self.life

    def met(self, name: str) -> ClassCounts:
        """A class's sums; under the lock."""
        return self.came.setdefault(name, ClassCounts())

    # tables

    def table(self, route: Route | None) -> str:
        """The table that routes lead to now."""
        return route.table if route and route.table in self.held.tables else STANDING

    def lines(self, table: str) -> dict[str, tuple[Address, float, str]]:
        """A table's lines: name to address, weight, version; none of one that is there no more."""
        return self.standing if table == STANDING else self.held.tables.get(table, {})

    def pick(self, table: str, without: set[Address]) -> tuple[Address, str] | None:
        """The next line in turn, evenly by weight; lines avoided come last."""
        with self.lock:
            lines = self.lines(table)
            usable = {n: row for n, row in lines.items() if row[0] not in self.held.out}
            usable = {n: row for n, row in usable.items() if row[0] not in without}
            now = now_ms()
            near = {n: row for n, row in usable.items() if self.avoids.get(row[0], 0.0) <= now} or usable
            if not near:
                return None
            turns = self.turns.setdefault(table, {})
            total, best = 0.0, ""
            for line, row in near.items():
                turns[line] = turns.get(line, self.draw() * row[1]) + row[1]
                total += row[1]
                if not best or turns[line] > turns[best]:
                    best = line
            turns[best] -= total
            return near[best][0], near[best][2]

    def applied(self) -> None:
        """After every change: write down whether any class has no line left."""
        with self.lock:
            for name in self.host.classes:
                lines = self.lines(self.table(self.held.routes.get(name)))
                bare = all(row[0] in self.held.out for row in lines.values())
                if bare != self.bare.get(name, False):
                    self.bare[name] = bare
                    self.host.record.put(what="bare", at=now_ms(), proxy=self.name, **{"class": name}, on=bare)
            used = set(self.held.tables) | {STANDING}
            self.turns = {table: turns for table, turns in self.turns.items() if table in used}

    def lets_in(self, name: str) -> bool:
        route = self.held.routes.get(name)
        if route is None:
            return True
        if route.closed:
            return False
        if route.rate is not None:
            held = self.buckets.get(name)
            if held is None or held[0] != route.rate:
                held = self.buckets[name] = (route.rate, Bucket(route.rate, max(1.0, route.burst)))
            with self.lock:
                return held[1].take()
        dropped = self.held.drops.get(route.table, {}).get(name, 0.0)
        return not dropped or self.draw() >= dropped

    # exchanges

    def carry(self, at: float, name: str, exchange: str) -> None:
        """One exchange from its arrival to its end."""
        row = self.host.classes[name]
        with self.lock:
            self.met(name).counts[0] += 1
        begun = now_ms()
        if self.stalled_ms > begun:
            time.sleep((self.stalled_ms - begun) / 1000.0)
        until = at + row["cut_off_ms"]
        note = {"what": "exchange", "at": at, "proxy": self.name, "class": name, "exchange": exchange}
        if not self.lets_in(name):
            with self.lock:
                self.met(name).counts[2] += 1
            self.host.record.put(**note, end=now_ms(), outcome="refused", tries=[])
            return
        with self.lock:
            # The routes of its beginning are its routes to its end: a further try, if they allow one, is of the same
            # table.  With newer routes a retry could go to another zone's endpoints.
            route, went_by = self.held.routes.get(name), self.held.routes_version
            table = self.table(route)
        tries_left = route.tries if route else self.host.default_retry_policy
        more = self.host.further(tries_left)
        tried: list[tuple] = []
        used: set[Address] = set()
        outcome = "failed"
        for turn in itertools.count():
            picked = self.pick(table, used)
            if picked is None:
                outcome = outcome if tried else "bare"
                break
            address, version = picked
            used.add(address)
            again = turn < more and (turn == 0 or tries_left == 3)
            wait = route.per_try_ms if route and route.per_try_ms and again else row["cut_off_ms"]
            sent = now_ms()
            ended = min(until, sent + wait)
            result, load = self.try_once(address, name, exchange, ended)
            tried.append(("{}:{}".format(*address), sent, now_ms(), result, version))
            self.count(address, result == "ok", now_ms() - sent, load)
            if result == "ok":
                outcome = "ok"
                break
            proof = result == "no connection"
            # No further try where little time is left or where nothing proves what the way of trying asks for.
            if not again or now_ms() + 0.1 * row["agreed_ms"] > until or (tries_left == 1 and not proof):
                break
        with self.lock:
            if outcome == "ok":
                self.met(name).answered(now_ms() - at)
            else:
                self.met(name).counts[1] += 1
        self.host.record.put(**note, end=now_ms(), outcome=outcome, tries=tried, mode=tries_left, routes=went_by)

    def try_once(self, address: Address, name: str, exchange: str, until: float) -> tuple[str, dict[str, float]]:
        """One try; "no connection" is proof that it never ran, nothing else is."""
        try:
            sock, new = self.connections.get(address, until - now_ms())
        except TimeoutError:
            return "no connection", {}
        except OSError:
            return "no connection", {}
        try:
            left = until - now_ms()
            head = f"POST /{name} HTTP/1.1\r\nHost: e\r\nx-exchange: {exchange}\r\nx-proxy: {self.name}\r\n"
            sock.settimeout(max(0.001, left / 1000.0))
            sock.sendall(f"{head}x-time-left-ms: {left:.1f}\r\nContent-Length: 0\r\n\r\n".encode())
            answer = b""
            while b"\r\n\r\n" not in answer:
                sock.settimeout(max(0.001, (until - now_ms()) / 1000.0))
                data = sock.recv(4096)
                if not data:
                    sock.close()
                    return "reset", {}
                answer += data
        except TimeoutError:
            sock.close()
            return "time-out", {}
        except OSError:
            sock.close()
            return "reset", {}
        self.connections.put(address, sock)
        text = answer.decode("latin-1")
        return ("ok" if " 200 " in text[:16] else "error"), self.told(text)

    @staticmethod
    def told(text: str) -> dict[str, float]:
        _, found, rest = text.partition("endpoint-load-metrics: TEXT ")
        if not found:
            return {}
        pairs = (pair.partition("=") for pair in rest.partition("\r\n")[0].split(","))
        return {name: float(value) for name, _, value in pairs}

    def count(self, address: Address, good: bool, took_ms: float, load: dict[str, float]) -> None:
        with self.lock:
            row = self.sums.setdefault(address, [0, 0, 0.0, {}])
            if good:
                row[0] += 1
                row[2] += took_ms
                self.fails.pop(address, None)
            else:
                row[1] += 1
                self.fails[address] = self.fails.get(address, 0) + 1
                if self.host.proxies["ejects"] and self.fails[address] >= self.host.proxies["ejects"]:
                    self.avoids[address] = now_ms() + self.host.proxies["avoid_ms"]
                    self.fails[address] = 0
            for name, value in load.items():
                held = row[3].setdefault(name, [0, 0.0])
                held[0] += 1
                held[1] += value

    def hand_over(self) -> tuple[dict[Address, list], dict[str, ClassCounts], float]:
        """The sums since the last report, which start anew."""
        with self.lock:
            sums, came, since = self.sums, self.came, self.reported_ms
            self.sums, self.came, self.reported_ms = {}, {}, now_ms()
            return sums, came, self.reported_ms - since


class Script:
    """When which exchange comes to which proxy: drawn from the seed alone, the same for every arm of a day."""

    def __init__(self, setup: dict[str, Any]) -> None:
        self.phases = setup["phases"]
        self.most = max([1.0] + [phase["times"] for phase in self.phases])
        rows = setup["classes"]
        self.names = [row["name"] for row in rows]
        self.cumulated = list(itertools.accumulate(row["share"] for row in rows))
        self.seconds = setup["seconds"]
        self.drawers = {row["name"]: random.Random(f"{setup['seed']} {row['name']}") for row in setup["proxies"]}
        self.rates = {row["name"]: row["usual"] for row in setup["proxies"]}

    def times(self, at_s: float) -> float:
        held = [p["times"] for p in self.phases if p["at_s"] <= at_s < p["at_s"] + p["for_s"]]
        return held[-1] if held else 1.0

    def of(self, proxy: str) -> Any:
        """(second, proxy, class, exchange) in sequence."""
        drawer, at = self.drawers[proxy], 0.0
        rate = self.rates[proxy] * self.most
        for count in itertools.count():
            at += drawer.expovariate(rate) if rate > 0 else float("inf")
            if at >= self.seconds:
                return
            kept = drawer.random() < self.times(at) / self.most
            name = drawer.choices(self.names, cum_weights=self.cumulated)[0]
            if kept:
                yield at, proxy, name, f"{proxy}-{count}"

    def all(self) -> Any:
        return heapq.merge(*(self.of(proxy) for proxy in self.drawers))


class SpannedRecord(EventLog):
    """A record whose applications and exchanges are told as spans too."""

    def __init__(self, path: str, spans: dict[str, Any]) -> None:
        super().__init__(path)
        from quillstep.tracing.spans import SpanRecorder  # only who wants spans needs the library for them

        self.spans = SpanRecorder(spans["file"], spans["part"], spans["most_per_s"], spans["service"])

    def put(self, **fields: Any) -> None:
        super().put(**fields)
        if fields["what"] == "exchange":
            self.spans.record_request(fields)
        elif fields["what"] in ("applied", "refused"):
            self.spans.record_application(fields["proxy"], fields)

    def close(self) -> None:
        super().close()
        self.spans.close()


class Host:
    """All proxies of this process."""

    def __init__(self, setup: dict[str, Any]) -> None:
        threading.stack_size(STACK_BYTES)
        self.classes = {row["name"]: row for row in setup["classes"]}
        self.proxies = setup["knobs"]
        self.default_retry_policy = self.proxies["base_tries"]
        self.rates = self.proxies["admission"] == "rate"
        self.record = SpannedRecord(setup["record"], setup["spans"]) if setup["spans"] else EventLog(setup["record"])
        self.script = Script(setup)
        self.all = {row["name"]: Proxy(row, self) for row in setup["proxies"]}
        self.work: queue.SimpleQueue[tuple] = queue.SimpleQueue()
        self.idle = 0
        self.workers = 0
        for proxy in self.all.values():
            if proxy.subscriber:
                proxy.subscriber.start()
        threading.Thread(target=self.report, daemon=True).start()
        answer(ready=len(self.all))

    @staticmethod
    def further(mode: int) -> int:
        return 2 if mode == 3 else 1 if mode else 0

    def report(self) -> None:
        """Each proxy reports once in the period it is asked for, each at its own moment of it."""
        period = self.proxies["report_every_ms"]
        proxies = list(self.all.values())
        due = [(now_ms() + period * at / max(1, len(proxies)), at) for at in range(len(proxies))]
        while due:
            at, place = due[0]
            time.sleep(max(0.0, at - now_ms()) / 1000.0)
            proxies[place].connections.sweep()
            period = proxies[place].reporter.tick()
            heapq.heapreplace(due, (max(at + period, now_ms()), place))

    def run(self, begin_ms: float) -> None:
        """Bring the script's exchanges at their times."""
        for at_s, proxy, name, exchange in self.script.all():
            at = begin_ms + at_s * 1000.0
            wait = at - now_ms()
            if wait > 0:
                time.sleep(wait / 1000.0)
            self.work.put((proxy, at, name, exchange))
            if self.idle <= self.work.qsize() and self.workers < MAX_WORKERS:
                self.workers += 1
                threading.Thread(target=self.worker, daemon=True).start()
        time.sleep(max(row["cut_off_ms"] for row in self.classes.values()) / 1000.0)
        self.record.flush()
        answer(done="script")

    def worker(self) -> None:
        while True:
            self.idle += 1
            proxy, at, name, exchange = self.work.get()
            self.idle -= 1
            self.all[proxy].carry(at, name, exchange)

    def take(self, command: dict[str, Any]) -> None:
        do = command["do"]
        if do == "run":
            threading.Thread(target=self.run, args=(command["begin_ms"],), daemon=True).start()
            return
        proxy = self.all[command["proxy"]]
        until = now_ms() + command.get("for_ms", 0.0)
        if do == "stall":
            proxy.stalled_ms = until
        if do == "moves":
            threading.Thread(target=proxy.move, daemon=True).start()
        elif do == "reports_late":
            proxy.reporter.late_until, proxy.reporter.late_ms = until, 1000.0 * command["factor"]
        elif do == "reports_heavy":
            proxy.reporter.heavy_until = until
        elif do == "reports_cut":
            proxy.reporter.cut_until = until
        elif proxy.subscriber:
            if do == "cut":
                proxy.subscriber.cut(until)
                proxy.reporter.cut_until = until
            elif do == "refuse":
                proxy.subscriber.refuses_ms = until
            elif do in ("reads_nothing", "stall"):
                proxy.subscriber.stalled_ms = until
            elif isinstance(proxy.subscriber, FileSubscriber):
                pass  # the rest is about words on a stream
            elif do == "slow_lines":
                proxy.subscriber.slow_until, proxy.subscriber.line_ms = until, command["factor"]
            elif do == "late_words":
                proxy.subscriber.late_until, proxy.subscriber.late_ms = until, 1000.0 * command["factor"]
            elif do == "loses":
                proxy.subscriber.loses = int(command["factor"])
        self.record.put(what="command", at=now_ms(), proxy=proxy.name, do=do, until=until)
        answer(done=do, proxy=proxy.name)


def main() -> None:
    host = Host(read_setup())
    serve(host.take, host.record)


if __name__ == "__main__":
    main()
