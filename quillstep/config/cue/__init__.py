"""A subset of CUE: records, definitions, bounds, disjunctions, defaults, lists, references, comments.

Supported: fields `name: value`, `name?: value`, nested shorthand `a: b: 1`; definitions `#Name: {...}`, closed unless
they contain `...`; `&` for unification, `|` for disjunction, `*` for a default; bounds `>=0`, `<10`, `!=0`; the types
`int number float string bool null`; lists `[1, 2]` and `[...type]`; references to a field of an enclosing record; `//`
comments.  Not supported: imports, interpolation, comprehensions, arithmetic.  What is not supported is rejected with
file and line.  The syntax is that of the CUE specification; one file is one record.

A text is parsed into a tree (`grammar`), the tree is evaluated into nodes that are unified (`evaluation`, `nodes`,
`unification`), and the nodes are converted to plain values (`document`).
"""

from quillstep.config.cue.document import Origin, read, read_text
from quillstep.config.cue.nodes import format_value

__all__ = ["Origin", "format_value", "read", "read_text"]
