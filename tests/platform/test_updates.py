"""Conversion of the planner's output to updates: recipients, contents and line counts."""

import random

import pytest
from platform_peers import Proxy

from quillstep.platform.protocol.codec import MessageCodec
from quillstep.platform.protocol.updates import ProtocolOutput


class ExpectedUpdates:
    """A model of the simulator's rules for the same output: lines of each proxy's update, and final tables."""

    def __init__(self, classes):
        self.classes, self.tables, self.admission, self.ejected = classes, {}, {}, set()
        self.assignments = {}  # by proxy and class
        self.sent_ejections = {}  # by proxy

    def interval(self, calls):
        cost = dict.fromkeys(self.assignments, 0)
        assigned = {proxy for kind, proxy, *_ in calls if kind == "assign_table"}
        for kind, *what in calls:
            getattr(self, kind)(cost, assigned, *what)
        return {proxy: lines + 1 for proxy, lines in cost.items() if lines}  # plus one for the requested ack

    def proxies_of(self, table):
        return [proxy for proxy, classes in self.assignments.items() if table in classes.values()]

    def set_weight(self, cost, assigned, table, endpoint, weight):
        lines = self.tables.setdefault(table, {})
        lines[endpoint] = weight
        for proxy in self.proxies_of(table):
            if proxy not in assigned:
                cost[proxy] += 1

    def set_admission(self, cost, assigned, table, classes, limit, retry_policy):
        self.admission.setdefault(table, {}).update({each: (limit, retry_policy) for each in classes})
        for proxy in self.proxies_of(table):
            if proxy not in assigned:
                cost[proxy] += len(classes)

    def set_ejected(self, cost, assigned, endpoint, ejected):
        (self.ejected.add if ejected else self.ejected.discard)(endpoint)
        for proxy, classes in self.assignments.items():
            # A proxy that is assigned a table is sent the table's ejections with it.  Endpoints ejected before an
            # assignment are restored explicitly, whether or not the proxy still has them ejected.
            sent = self.sent_ejections.setdefault(proxy, set())
            is_affected = not classes or any(endpoint in self.tables[table] for table in classes.values())
            if (is_affected and ejected and proxy not in assigned) or (not ejected and endpoint in sent):
                cost[proxy] += 1
                (sent.add if ejected else sent.discard)(endpoint)

    def assign_table(self, cost, assigned, proxy, table, classes):
        self.assignments[proxy] = dict.fromkeys(classes, table)
        lines = self.tables[table]
        cost[proxy] += 1 + len(lines) + len(self.admission.get(table, {})) + len(self.ejected & lines.keys())
        self.sent_ejections.setdefault(proxy, set()).update(self.ejected & lines.keys())


@pytest.mark.parametrize("seed", range(6))
def test_updates_match_the_lines_and_tables_of_the_simulators_rules(seed):
    draw = random.Random(seed)
    names, classes = [f"s{index}" for index in range(8)], range(2)
    output, expected, proxies = ProtocolOutput(["lookup", "issue"], None, None, None), ExpectedUpdates(classes), {}
    for proxy in range(5):
        output.add_proxy(proxy)
        expected.assignments[proxy] = {}
        proxies[proxy] = Proxy.__new__(Proxy)
        proxies[proxy].number, proxies[proxy].lines, proxies[proxy].updates = proxy, 0, 0
        proxies[proxy].tables, proxies[proxy].admission, proxies[proxy].ejected = {"lookup": {}, "issue": {}}, {}, set()
        proxies[proxy].send = lambda *_: None
    for serial in range(40):
        calls = [("set_weight", 0, draw.choice(names), draw.randint(1, 20)) for _ in range(draw.randint(0, 3))]
        calls = list({call[2]: call for call in calls if call[2] not in expected.ejected}.values())
        if draw.random() < 0.3:
            calls.append(("set_admission", 0, [draw.choice(classes)], draw.randint(1, 9) / 2.0, draw.randint(0, 2)))
        toggled = draw.choice(names)
        if draw.random() < 0.4:
            calls.append(("set_ejected", toggled, toggled not in expected.ejected))
        unassigned = [proxy for proxy, classes in expected.assignments.items() if not classes]
        if unassigned and draw.random() < 0.3:
            calls.append(("assign_table", draw.choice(unassigned), 0, list(classes)))
        if any(call[0] == "assign_table" for call in calls) and 0 not in expected.tables:
            calls.insert(0, ("set_weight", 0, names[0], 1))
        expected_lines = expected.interval(calls)
        for kind, *what in calls:
            getattr(output, kind)(*what)
        if calls:
            output.request_ack(serial)
        sent_lines = {}
        for proxy, message in output.flush():
            lines_before = proxies[proxy].lines
            for part in MessageCodec(2**20).receive(message):
                proxies[proxy].apply(part)
            sent_lines[proxy] = proxies[proxy].lines - lines_before
        assert sent_lines == expected_lines, calls
    assigned = [proxy for proxy, classes in expected.assignments.items() if classes]
    assert assigned
    for proxy in assigned:
        assert proxies[proxy].tables["issue"] == expected.tables[0] == proxies[proxy].tables["lookup"]
        assert proxies[proxy].ejected & expected.tables[0].keys() == expected.ejected & expected.tables[0].keys()
        for name, class_index in (("lookup", 0), ("issue", 1)):
            assert proxies[proxy].admission.get(name) == expected.admission.get(0, {}).get(class_index)


def test_unaffected_proxies_get_no_update_and_acks_count_for_their_proxy_only():
    output = ProtocolOutput(["lookup", "issue"], None, None, None)
    for proxy in (0, 1):
        output.add_proxy(proxy)
    output.set_weight(0, "s", 10)
    output.assign_table(0, 0, [0, 1])
    output.request_ack(7)
    assert [proxy for proxy, _ in output.flush()] == [0] and output.flush() == []
    assert not output.accept_ack(1, 7) and output.accept_ack(0, 7) and not output.accept_ack(0, 7)
    output.set_admission(0, [0], 3.5, 1)
    ((_, message),) = output.flush()
    (part,) = MessageCodec(4096).receive(message)
    assert part == {"t": "assign", "routes": ["lookup"], "admit": 3.5, "policy": 1}


@pytest.mark.parametrize("classes", [63, 64, 130])
def test_an_update_with_more_than_the_maximum_of_parts_is_split_into_messages(classes):
    names = [f"c{index}" for index in range(classes)]
    output = ProtocolOutput(names, None, None, None)
    output.add_proxy(0)
    output.set_weight(0, "s", 10)
    output.assign_table(0, 0, range(classes))
    for class_index in range(classes):
        output.set_admission(0, [class_index], 1.0 + class_index, 1)
    output.request_ack(7)
    ((_, message),) = output.flush()
    parts = MessageCodec(2**20).receive(message)
    runs = "".join("+" if part.get("continued") else "." for part in parts).split(".")
    assert max(map(len, runs)) < 64 and runs[-1] == "" and len(runs) - 1 == -(-len(parts) // 64)
    assert {name: part["admit"] for part in parts if "admit" in part for name in part["routes"]} == {
        name: 1.0 + class_index for class_index, name in enumerate(names)
    }
    assert [part.get("nonce_out") for part in parts] == [None] * (len(parts) - 1) + [7]
