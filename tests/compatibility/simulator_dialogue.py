"""Generates a seeded dialogue in the simulator's protocol: the simulator's side, which serves the adapter's requests.

It uses no codec of the program, so that it does not change with the program.  The recorded input and replies are in
`golden/`; `record.py` regenerates them, which is only correct if the protocol itself changes.
"""

import random

BATCHES = 160  # Number per dialogue.
CLASSES = ["lookup", "quote", "issue"]
ZONES = ["a", "b", "c"]

CLASS_FIELDS = (
    "lanes.count=3 lanes.0.name=lookup lanes.0.aim=400000 lanes.0.worth=1 lanes.0.semantics=safe "
    "lanes.1.name=quote lanes.1.aim=600000 lanes.1.worth=2.5 lanes.1.semantics=keyed lanes.1.keyScope=zone "
    "lanes.1.repeatWindow=60000000 lanes.2.name=issue lanes.2.aim=900000 lanes.2.worth=4 lanes.2.semantics=unsafe"
)
SHARED_FIELDS = (
    "zones=a,b,c allowed.probing=1 discovery=on_request specifics.baseMode=1 specifics.tryFactor=0.8 "
    "specifics.ejects=5 specifics.standing=4 specifics.reportEvery=1000000 specifics.perMessage=6 "
    "specifics.pushesAllowed=20 specifics.messagesOver=10000000 specifics.lateMost=400000 "
    "rules.stopSendingWithin=3000000 rules.startCapacity=0.2 rules.warmAfter=9000000 rules.fallMultiple=3"
)
VARIANTS = {
    "rate": "specifics.admission=rate specifics.channelRate=3000 specifics.mostWaiting=5000 stats.how=probe",
    "share": (
        "specifics.admission=share specifics.channelRate=900 specifics.mostWaiting=1200 "
        "specifics.homeOnly=0,1,0 stats.how=report"
    ),
    "plain": "specifics.admission=none specifics.channelRate=0 specifics.mostWaiting=0 specifics.slices=0",
}


class Simulator:
    """The simulator's side: endpoints, proxies, timers, and their responses."""

    def __init__(self, variant, seed):
        self.random = random.Random(f"{variant}/{seed}")
        self.variant, self.now, self.bank, self.instances = variant, 1_000_000, 0, {}
        self.endpoints = {}  # Zone, availability, weight and start time by number.
        for number in range(1, 19):
            self.endpoints[number] = [ZONES[number % 3], "in_service", self.random.choice([1, 1, 2]), 0]
        self.next_endpoint = 19
        self.overload_batches = 0
        self.failing = set()

    def list_lines(self, numbers):
        lines = [f"manifest bank={self.bank} membersList={len(numbers)}"]
        for number in numbers:
            zone, availability, weight, up = self.endpoints[number]
            extra = f" upSince={up}" if up else ""
            lines.append(f"item endpoint={number} regionPart={zone} availability={availability} part={weight}{extra}")
        return lines

    def membership(self, instance, mode, numbers):
        self.bank = (self.bank + 1) % 7
        lines = self.list_lines(numbers)
        return [*lines, f"membership i={instance} mode={mode} bank={self.bank} serial={self.random.randrange(99)}"]

    def start(self, instance):
        self.instances[instance] = {"proxies": {}, "timers": [], "applied": [], "health": [], "watches": False}
        seed = self.random.randrange(1, 2**31)
        head = f"start i={instance} randomSeed={seed} novel=1 {CLASS_FIELDS} {SHARED_FIELDS} {VARIANTS[self.variant]}"
        return [head, *self.membership(instance, "Persisted", self.listed())]

    def listed(self):
        return [number for number, row in self.endpoints.items() if row[1] != "terminated"]

    def join(self, instance, number, fresh):
        zone = ZONES[number % 3]
        self.instances[instance]["proxies"][number] = zone
        usual = self.random.choice(["12.5", "40", "3.25"])
        return f"joined i={instance} agent={number} regionPart={zone} part={usual} active={int(fresh)}"

    def handle_reply(self, reply):
        """Handles a reply; what it requests is answered in a later batch."""
        for line in reply:
            name, _, rest = line.partition(" ")
            fields = dict(part.partition("=")[::2] for part in rest.split(" ") if "=" in part)
            state = self.instances.get(fields.get("i"))
            if state is None:
                continue
            if name == "sleep":
                state["timers"].append((int(fields["at"]), fields["cookie"]))
            elif name == "ask_receipt":
                state["applied"].append(fields["serial"])
            elif name == "health_check":
                state["health"].append(int(fields["endpoint"]))
            elif name == "track":
                state["watches"] = True

    def change_endpoints(self):
        """Drains, terminates or adds endpoints at random and selects failing ones; returns the changed numbers."""
        draw, changed = self.random.random(), []
        alive = [number for number, row in self.endpoints.items() if row[1] == "in_service"]
        if draw < 0.10 and len(alive) > 6:
            number = self.random.choice(alive)
            self.endpoints[number][1] = "terminating"
            changed.append(number)
        elif draw < 0.16:
            for number, row in self.endpoints.items():
                if row[1] == "terminating":
                    row[1] = "terminated"
                    changed.append(number)
        elif draw < 0.28:
            number, self.next_endpoint = self.next_endpoint, self.next_endpoint + 1
            self.endpoints[number] = [self.random.choice(ZONES), "in_service", self.random.choice([1, 2]), self.now]
            changed.append(number)
        elif draw < 0.31 and len(alive) > 12:
            for number in self.random.sample(alive, 4):
                self.endpoints[number][1] = "terminated"
                changed.append(number)
        if draw > 0.9:
            self.failing = set(self.random.sample(alive, 2)) if self.random.random() < 0.6 else set()
        return changed

    def traffic(self, instance, state):
        """Returns load reports of endpoints and proxies; an overload multiplies the requests."""
        lines = []
        factor = 6 if self.overload_batches else 1
        for number, (_, availability, _, _) in self.endpoints.items():
            if availability == "terminated" or self.random.random() < 0.3:
                continue
            many = self.random.randrange(1, 30) * factor
            is_failing = number in self.failing
            errors = (
                many
                if is_failing
                else min(many, self.random.choice([0, 0, 0, 1, many // 3 if self.overload_batches else 0]))
            )
            duration_us = self.random.randrange(20_000, 900_000 if self.overload_batches else 300_000)
            util = round(self.random.uniform(0.8, 1.1) if self.overload_batches else self.random.uniform(0.2, 0.7), 3)
            gauge = "" if self.variant == "rate" or is_failing else f" gauge=util:{util},inflight:{many % 7}"
            lines.append(
                f"observed i={instance} endpoint={number} many={many} errors={errors} timeTaken={duration_us} "
                f"covers=1000000{gauge}"
            )
        for number in state["proxies"]:
            for index, name in enumerate(CLASSES):
                if self.random.random() < 0.7:
                    many = self.random.randrange(0, 25) * factor
                    covers = self.random.choice([1000000, 997000, 400000])
                    lines.append(
                        f"traffic i={instance} service={name} many={many} errors={many // (9 - index)} "
                        f"agent={number} covers={covers}"
                    )
        return lines

    def batch(self, number):
        """Returns the lines between `turn` and `over_to_you`."""
        self.now += self.random.choice([40_000, 150_000, 200_000, 350_000, 600_000])
        lines = []
        if number == 0:
            for at in (1, 2):
                lines += self.start(f"pilot/{at}")
                for proxy in range(5):
                    lines.append(self.join(f"pilot/{at}", 10 * at + proxy, proxy % 2 == 0))
            return lines
        changed = self.change_endpoints()
        self.overload_batches = max(0, self.overload_batches - 1)
        if self.random.random() < 0.03:
            self.overload_batches = 15
        for instance, state in list(self.instances.items()):
            lines += self.instance_lines(instance, state, changed)
        draw = self.random.random()
        if draw < 0.02:
            instance = self.random.choice(list(self.instances))
            proxies = list(self.instances[instance]["proxies"])
            lines.append(f"stop i={instance}")
            lines += self.start(instance)
            lines += [self.join(instance, proxy, False) for proxy in proxies]
        return lines

    def instance_lines(self, instance, state, changed):
        lines = []
        if changed and self.random.random() < 0.9:
            lines += self.membership(instance, "Partial", changed)
        draw = self.random.random()
        if draw < 0.03:
            lines.append(f"membership i={instance} mode=Error bank=0 serial=0")
        elif draw < 0.08:
            lines += self.membership(instance, "Complete", self.listed())
        due = [timer for timer in state["timers"] if timer[0] <= self.now]
        state["timers"] = [timer for timer in state["timers"] if timer[0] > self.now]
        lines += [f"timer i={instance} cookie={cookie}" for _, cookie in due]
        if self.random.random() < 0.75:
            lines += self.traffic(instance, state)
        if state["applied"] and self.random.random() < 0.8:
            for serial in state["applied"]:
                for proxy in state["proxies"]:
                    if self.random.random() < 0.9:
                        lines.append(f"applied i={instance} serial={serial} agent={proxy}")
            state["applied"] = []
        for endpoint in state["health"][:8]:
            is_done = endpoint not in self.failing and self.random.random() < 0.9
            gauge = f" gauge=util:{round(self.random.uniform(0.2, 0.9), 3)}" if is_done else ""
            lines.append(
                f"health i={instance} endpoint={endpoint} disposition={'done' if is_done else 'late'} "
                f"timeTaken={self.random.randrange(900, 70000)}{gauge}"
            )
        state["health"] = []
        if self.random.random() < 0.06 and len(state["proxies"]) < 12:
            lines.append(self.join(instance, self.random.randrange(100, 130), self.random.random() < 0.5))
        elif self.random.random() < 0.05 and len(state["proxies"]) > 3:
            proxy = self.random.choice(list(state["proxies"]))
            del state["proxies"][proxy]
            lines.append(f"disconnected i={instance} agent={proxy}")
        if self.random.random() < 0.03:
            proxy = self.random.choice(list(state["proxies"]))
            lines.append(self.join(instance, proxy, False))
        if self.random.random() < 0.05:
            lines.append(f"heard i={instance}")
            lines.append(f"weight_seen i={instance} mapId=0")
            lines.append(f"assigned_to_me i={instance} mapId=0")
            lines.append(f"held i={instance} mapId=0 endpoint=1")
        return lines


def dialogue(variant, seed, answer):
    """Returns the input and the replies of a full dialogue; `answer` returns the reply to the lines of one batch."""
    simulator = Simulator(variant, seed)
    requests, replies = [], []
    for number in range(BATCHES):
        lines = simulator.batch(number)
        lines = [f"turn atTime={simulator.now}", *lines, "over_to_you"]
        reply = answer(lines)
        simulator.handle_reply(reply)
        requests += lines
        replies += [*reply, "end"]
    return "".join(f"{line}\n" for line in requests), "".join(f"{line}\n" for line in replies)
