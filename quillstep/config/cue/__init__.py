"""A subset of CUE: records, definitions, bounds, disjunctions, defaults, lists, references, comments.

What is read (the rest of CUE is rejected with file and line): fields `name: value`, `name?: value`, nested
shorthand `a: b: 1`; definitions `#Name: {...}`, closed unless they hold `...`; `&` unifies, `|` chooses, `*`
marks a default; bounds `>=0`, `<10`, `!=0`; the types `int number float string bool null`; lists `[1, 2]` and
`[...type]`; references to a field of an enclosing record; `//` comments.  No imports, no interpolation, no
comprehensions, no arithmetic.  The syntax is the published language's; one file is one record.

A text becomes a tree (`grammar`), the tree becomes nodes that are unified (`evaluation`, `nodes`, `unification`), and
these become plain values (`document`).
"""

from quillstep.config.cue.document import Origin, read, read_text
from quillstep.config.cue.nodes import format_value

__all__ = ["Origin", "format_value", "read", "read_text"]
