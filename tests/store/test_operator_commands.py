"""Operators' commands on a fleet of processes: versions, pins, rollbacks, what they refuse."""

import time

import lmdb
import msgspec
import pytest
from click.testing import CliRunner
from memory_fleet import pilot_record, small_day

from quillstep.cli.main import cli
from quillstep.config.controller import StoreSettings
from quillstep.invariants import check_invariants
from quillstep.routing.resources import WEIGHT, make_resource
from quillstep.store import (
    Store,
)
from quillstep.store.records import (
    META,
    SCHEMA,
    VERSIONS,
    Entry,
    VersionRow,
    number_key,
)
from quillstep.store.store import SCHEMA_KEY
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import plan_scenario
from quillstep.xds.resources import name


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """A day with stores and all three kinds of proxies; the pilots still run when it is over."""
    kept = StoreSettings(folder="store")
    day = small_day(seconds=5.0, proxies=6, pilots=1, store=kept, sotw_proxies=0.2, file_proxies=0.2)
    arm = Arm(day, plan_scenario(day), "learnt", tmp_path_factory.mktemp("store") / "learnt")
    try:
        arm.start()
        arm.play(time.monotonic() * 1000.0 + day.warm_up_s * 1000.0)
        yield arm
    finally:
        arm.stop()


def said(arm, *arguments):
    done = CliRunner().invoke(cli, ["tables", arguments[0], str(arm.folder / "pilot-0.cue"), *arguments[1:]])
    assert done.exit_code == 0, done.output
    return msgspec.json.decode(done.stdout.splitlines()[-1])


def lines_held(arm):
    """Each delta proxy's lines of table 0, by what it wrote down."""
    found = {}
    for each in arm.evidence().applied_updates:
        if each["type"] == "LbEndpoint":
            held = found.setdefault(each["proxy"], {})
            held.update({n: v for n, v in each["changed"] if "/table-0/" in n})
            for gone in each["removed"]:
                held.pop(gone, None)
    return found


def until(there, seconds=30.0):
    """Look again until it is so."""
    end = time.monotonic() + seconds
    while not there():
        assert time.monotonic() < end, "in vain"
        time.sleep(0.05)


def test_every_proxy_ends_on_the_chosen_version_also_after_the_controller_is_killed(played):
    log = said(played, "log", "--table", "0", "--limit", "500")["versions"]
    assert len(log) >= 1 and log[0]["cause"] == "module"
    chosen = said(played, "show", "0", "~0")
    weights = {endpoint: weight + 3.0 * (at % 2) for at, (endpoint, weight) in enumerate(chosen["lines"])}
    store = Store(played.folder / "store-0")
    number = store.last_number(VERSIONS, number_key(0)) + 1000
    other = VersionRow("feed0001", 0, "", "module", "", 0.0, "hand", 0, sorted(weights.items()), chosen["levels"])
    store.write([Entry(VERSIONS, number_key(0, number), other)])
    store.close()
    assert said(played, "rollback", "--table", "0", "--version", "feed0001")["taken"]
    wanted = {}
    for endpoint, weight in weights.items():
        key = (WEIGHT, 0, endpoint)
        wanted[name(key)] = make_resource(key, ("127.0.0.1", played.ports[endpoint], weight)).version
    until(lambda: len(lines_held(played)) == 4 and all(held == wanted for held in lines_held(played).values()))
    held = said(played, "held")["proxies"]
    assert len(held) == 6 and {row["life"] for row in held} == {held[0]["life"]} and min(r["order"] for r in held) > 0
    played.controllers.processes[0].kill()
    played.controllers.start(0)
    mark = len(played.evidence().applied_updates)
    until(lambda: sum(r["what"] == "join" for r in played.evidence().channel_rows) >= 10)
    assert [str(each) for each in said(played, "log")["pins"][0]] == ["0", "feed0001"]
    assert said(played, "release", "--all")["taken"]
    until(lambda: any(held != wanted for held in lines_held(played).values()))
    assert len(played.evidence().applied_updates) > mark and check_invariants(played.evidence()) == []
    assert said(played, "diff", "0", "feed0001", "~0")["from"] == "feed0001"


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["rollback", "--table", "0", "--version", "nosuch"], "0 versions begin with 'nosuch', expected one"),
        (["rollback", "--table", "9"], "the store knows no version of it"),
        (["show", "0", "~99999"], "versions are known"),
        (["rollback", "--table", "0", "--at", "yesterday"], "expected a time"),
        (["pin", "--zone", "nowhere"], "expected one of a, b"),
    ],
)
def test_an_unknown_version_or_table_is_rejected_by_name(played, arguments, text):
    done = CliRunner().invoke(cli, ["tables", arguments[0], str(played.folder / "pilot-0.cue"), *arguments[1:]])
    assert done.exit_code == 2 and text in done.stderr


def test_settings_without_a_store_and_a_store_of_a_newer_schema_are_reported(tmp_path):
    assert lmdb.version()
    path = tmp_path / "p.cue"
    record = pilot_record(store=StoreSettings(folder=str(tmp_path / "s")))
    path.write_bytes(msgspec.json.encode(record.model_dump()))
    Store(tmp_path / "s").write([Entry(META, SCHEMA_KEY, SCHEMA + 1)])
    done = CliRunner().invoke(cli, ["pilot", "--settings", str(path)])
    assert done.exit_code == 2 and "knows" in done.stderr
    path.write_bytes(msgspec.json.encode(pilot_record().model_dump()))
    done = CliRunner().invoke(cli, ["tables", "log", str(path)])
    assert done.exit_code == 2 and "store.folder" in done.stderr
