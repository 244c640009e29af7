"""Files that cannot be decoded end a command with one line that names the problem, never with a traceback."""

import pytest
from click.testing import CliRunner

from quillstep.cli.main import cli

NESTED = "[" * 3000 + "]" * 3000
SETTINGS = {
    "nested records": "a: " + "{b: " * 3000 + "1" + "}" * 3000,
    "nested lists": f"a: {NESTED}",
    "nested shorthand": "a: " * 3000 + "1",
    "a chain of references": "".join(f"a{number}: a{number + 1}\n" for number in range(3000)) + "a3000: 1\n",
    "a number of 5,000 digits": "a: " + "9" * 5000,
    "not UTF-8": b'a: "\xff"',
}


def run(*arguments):
    return CliRunner().invoke(cli, [str(each) for each in arguments], prog_name="quillstep")


def assert_fails_with_one_line(result):
    assert result.exit_code in (1, 2) and isinstance(result.exception, SystemExit)
    assert result.stderr.startswith("quillstep: ") and result.stderr.count("\n") == 1


# Guards against RecursionError and ValueError that leave the parser of settings.
@pytest.mark.parametrize("text", SETTINGS.values(), ids=SETTINGS)
@pytest.mark.parametrize("command", [["check", "controller"], ["controller", "--settings"], ["scenario"]])
def test_a_settings_file_that_cannot_be_decoded_is_rejected(tmp_path, command, text):
    path = tmp_path / "f.cue"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    result = run(*command, path)
    assert_fails_with_one_line(result)
    assert str(path) in result.stderr


# Guards against RecursionError of a value of `--set`, which is decoded as JSON.
@pytest.mark.parametrize("value", [NESTED, "[" * 3000], ids=["nested", "never closed"])
def test_a_nested_value_of_a_setting_is_rejected(value):
    result = run("replay", "compare", "examples/captures/short", "--set", f"fleet.proxies.ejects={value}")
    assert_fails_with_one_line(result)
    assert "fleet.proxies.ejects" in result.stderr
