"""The grammar of the supported subset of CUE, and the parser."""

from functools import cache

from lark import Lark, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from quillstep.config.errors import ConfigError

GRAMMAR = r"""
start: "{" _members? "}" | _members?
_members: member (","? member)* ","?
?member: field | embed | open
field: label mark? ":" (nested | value)
nested: label mark? ":" (nested | value)
!mark: "?" | "!"
label: NAME | DEFINITION | STRING
open: "..."
embed: "&" value
?value: choice
?choice: option ("|" option)*
?option: both | default
default: "*" both
?both: single ("&" single)*
?single: record | list | bound | NUMBER -> number | STRING -> string | ref
bound: BOUND NUMBER
record: "{" _members? "}"
list: "[" [item ("," item)* ","?] "]"
?item: value | rest
rest: "..." value?
ref: (NAME | DEFINITION) ("." (NAME | DEFINITION))*
BOUND: ">=" | "<=" | ">" | "<" | "!="
DEFINITION: /#[A-Za-z_][A-Za-z0-9_]*/
NAME: /[A-Za-z_$][A-Za-z0-9_$]*/
NUMBER: /-?(\d[\d_]*)(\.\d+)?([eE][+-]?\d+)?/
STRING: /"(\\.|[^"\\\n])*"/
COMMENT: /\/\/[^\n]*/
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\", "/": "/", "r": "\r"}
TOKEN_DESCRIPTIONS = {
    "RBRACE": "}",
    "RSQB": "]",
    "COLON": ":",
    "NAME": "a name",
    "STRING": "a text",
    "NUMBER": "a number",
}


def parse(text: str, file: str) -> Tree:
    """Parses a text into a syntax tree; `file` is the file name to use in errors.

    Raises:
        ConfigError: The text does not match the grammar.
    """
    try:
        return _parser().parse(text)
    except UnexpectedToken as error:
        raise ConfigError(file, error.line, "", f"{error.token!s}" or "the end", _expected(error)) from error
    except UnexpectedCharacters as error:
        raise ConfigError(file, error.line, "", text[error.pos_in_stream :][:1], "a value or a name") from error
    except UnexpectedInput as error:
        raise ConfigError(file, text.count("\n") + 1, "", "the end", "the rest of a record") from error


def parse_number(token: str) -> int | float:
    """Returns the value of a number token.

    Raises:
        ValueError: An integer has more digits than the interpreter converts.
    """
    digits = token.replace("_", "")
    return float(digits) if any(character in digits for character in ".eE") else int(digits)


def parse_string(token: str) -> str:
    """Returns the value of a string token, without quotes and with escapes replaced."""
    characters = iter(token[1:-1])
    return "".join(_unescape(next(characters, "")) if each == "\\" else each for each in characters)


def _unescape(character: str) -> str:
    return ESCAPES.get(character, character)


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def _expected(error: UnexpectedToken) -> str:
    descriptions = {TOKEN_DESCRIPTIONS[name] for name in error.expected if name in TOKEN_DESCRIPTIONS}
    return " or ".join(sorted(descriptions)) or "another token"
