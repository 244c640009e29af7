"""Operators' commands on a fleet of processes: versions, pins, rollbacks, and rejected commands."""

import time

import lmdb
import msgspec
import pytest
from click.testing import CliRunner
from memory_fleet import controller_settings, small_scenario

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
    """Plays a scenario with a store and all three kinds of proxies; the controller still runs afterwards."""
    settings = StoreSettings(folder="store")
    scenario = small_scenario(seconds=5.0, proxies=6, pilots=1, store=settings, sotw_proxies=0.2, file_proxies=0.2)
    arm = Arm(scenario, plan_scenario(scenario), "learnt", tmp_path_factory.mktemp("store") / "learnt")
    try:
        arm.start()
        arm.play(time.monotonic() * 1000.0 + scenario.warm_up_s * 1000.0)
        yield arm
    finally:
        arm.stop()


def run_command(arm, *arguments):
    result = CliRunner().invoke(cli, ["tables", arguments[0], str(arm.folder / "pilot-0.cue"), *arguments[1:]])
    assert result.exit_code == 0, result.output
    return msgspec.json.decode(result.stdout.splitlines()[-1])


def held_weights(arm):
    """Returns each delta proxy's weights of table 0, by name and version, from its record of applied updates."""
    found = {}
    for update in arm.evidence().applied_updates:
        if update["type"] == "LbEndpoint":
            held = found.setdefault(update["proxy"], {})
            held.update({n: v for n, v in update["changed"] if "/table-0/" in n})
            for removed in update["removed"]:
                held.pop(removed, None)
    return found


def wait_until(condition, seconds=30.0):
    """Polls until the condition holds."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.05)


def test_every_proxy_converges_to_the_rollback_version_even_after_the_controller_is_killed(played):
    log = run_command(played, "log", "--table", "0", "--limit", "500")["versions"]
    assert len(log) >= 1 and log[0]["cause"] == "module"
    chosen = run_command(played, "show", "0", "~0")
    weights = {endpoint: weight + 3.0 * (at % 2) for at, (endpoint, weight) in enumerate(chosen["lines"])}
    store = Store(played.folder / "store-0")
    number = store.last_number(VERSIONS, number_key(0)) + 1000
    stored = VersionRow("feed0001", 0, "", "module", "", 0.0, "hand", 0, sorted(weights.items()), chosen["levels"])
    store.write([Entry(VERSIONS, number_key(0, number), stored)])
    store.close()
    assert run_command(played, "rollback", "--table", "0", "--version", "feed0001")["taken"]
    wanted = {}
    for endpoint, weight in weights.items():
        key = (WEIGHT, 0, endpoint)
        wanted[name(key)] = make_resource(key, ("127.0.0.1", played.ports[endpoint], weight)).version
    wait_until(lambda: len(held_weights(played)) == 4 and all(held == wanted for held in held_weights(played).values()))
    held = run_command(played, "held")["proxies"]
    assert (
        len(held) == 6 and {row["life"] for row in held} == {held[0]["life"]} and min(row["order"] for row in held) > 0
    )
    played.controllers.processes[0].kill()
    played.controllers.start(0)
    applied_before = len(played.evidence().applied_updates)
    wait_until(lambda: sum(r["what"] == "join" for r in played.evidence().channel_rows) >= 10)
    assert [str(each) for each in run_command(played, "log")["pins"][0]] == ["0", "feed0001"]
    assert run_command(played, "release", "--all")["taken"]
    wait_until(lambda: any(held != wanted for held in held_weights(played).values()))
    assert len(played.evidence().applied_updates) > applied_before and check_invariants(played.evidence()) == []
    assert run_command(played, "diff", "0", "feed0001", "~0")["from"] == "feed0001"


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["rollback", "--table", "0", "--version", "nosuch"], "0 versions begin with 'nosuch', expected one"),
        (["rollback", "--table", "9"], "no version in the store"),
        (["show", "0", "~99999"], "versions are known"),
        (["rollback", "--table", "0", "--at", "yesterday"], "expected a time"),
        (["pin", "--zone", "nowhere"], "expected one of a, b"),
    ],
)
def test_a_command_with_an_unknown_version_or_table_is_rejected(played, arguments, text):
    result = CliRunner().invoke(cli, ["tables", arguments[0], str(played.folder / "pilot-0.cue"), *arguments[1:]])
    assert result.exit_code == 2 and text in result.stderr


def test_settings_without_a_store_and_a_store_of_a_newer_schema_are_rejected(tmp_path):
    assert lmdb.version()
    path = tmp_path / "p.cue"
    settings = controller_settings(store=StoreSettings(folder=str(tmp_path / "s")))
    path.write_bytes(msgspec.json.encode(settings.model_dump()))
    Store(tmp_path / "s").write([Entry(META, SCHEMA_KEY, SCHEMA + 1)])
    result = CliRunner().invoke(cli, ["pilot", "--settings", str(path)])
    assert result.exit_code == 2 and f"expected schema {SCHEMA} or older, got {SCHEMA + 1}" in result.stderr
    path.write_bytes(msgspec.json.encode(controller_settings().model_dump()))
    result = CliRunner().invoke(cli, ["tables", "log", str(path)])
    assert result.exit_code == 2 and "store.folder" in result.stderr
