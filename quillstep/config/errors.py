"""Errors of settings."""

from quillstep.errors import QuillstepError


class ConfigError(QuillstepError):
    """Settings that do not check; the text names file, line, path, what was found and what was expected.

    Attributes:
        file: The name of the file.
        line: The line in it, from 1; 0 where the file can't be read at all.
        path: The field, such as `fleet.classes.0.name`; empty for the whole file.
        found: What stands there, in words.
        expected: What should stand there, in words.
    """

    def __init__(self, file: str, line: int, path: str, found: str, expected: str) -> None:
        self.file, self.line, self.path, self.found, self.expected = file, line, path, found, expected
        super().__init__(f"{file}:{line}: {path or 'the file'}: found {found}, expected {expected}")
