"""Commands and modules under their earlier names print one line with the new name and give the same result."""

import subprocess
import sys

import pytest
from click.testing import CliRunner

from quillstep.cli.main import cli

CAPTURE = "examples/captures/short/capture-0"


def run(*arguments):
    return CliRunner().invoke(cli, arguments, prog_name="quillstep")


@pytest.mark.parametrize(
    ("earlier", "arguments", "name"),
    [
        ("capture", ["ls", CAPTURE], "recording"),
        ("capture", ["verify", CAPTURE], "recording"),
        ("pilot", ["--settings", "no-such-file.cue"], "controller"),
        ("day", ["no-such-file.cue", "--seed", "3"], "scenario"),
        ("prove", ["--help"], None),
    ],
    ids=["group, ls", "group, verify", "pilot", "day", "prove"],
)
def test_an_earlier_command_names_the_new_one_and_gives_the_same_result(earlier, arguments, name):
    alias = run(earlier, *arguments)
    if name is None:
        assert alias.exit_code == 0 and "Check the stream protocol" in alias.stdout
        return
    command = run(name, *arguments)
    line = f"quillstep: quillstep {earlier} is now quillstep {name}\n"
    assert (alias.exit_code, alias.stdout, alias.stderr) == (command.exit_code, command.stdout, line + command.stderr)


def test_earlier_commands_are_hidden():
    help_text = run("--help").stdout
    assert "controller" in help_text and "check-model" in help_text
    assert not any(f"\n  {earlier} " in help_text for earlier in ("pilot", "day", "capture", "prove"))


@pytest.mark.parametrize(("earlier", "name"), [("pilot", "controller"), ("day", "scenario")])
def test_check_accepts_earlier_kinds(earlier, name):
    path = "examples/days/short.cue" if earlier == "day" else "tests/compatibility/settings/pilot-short.cue"
    alias, command = run("check", earlier, path), run("check", name, path)
    assert alias.exit_code == command.exit_code == 0
    assert (alias.stdout, command.stdout) == (f"{path}: valid {earlier} settings\n", f"{path}: valid {name} settings\n")
    assert alias.stderr == f"quillstep: check {earlier} is now check {name}\n"


def test_the_earlier_module_of_the_adapter_names_the_new_one_and_replies():
    lines = b"turn atTime=1000000\nover_to_you\n"
    command = [sys.executable, "-m", "quillstep.wirehost"]
    done = subprocess.run(command, input=lines, capture_output=True, timeout=60, check=False)
    assert (done.returncode, done.stdout) == (0, b"end\n")
    assert done.stderr == b"quillstep: quillstep.wirehost is now quillstep.simulator\n"
