"""Errors of settings."""

from quillstep.errors import QuillstepError


class ConfigError(QuillstepError):
    """Invalid settings; the message names file, line, path, what was found and what was expected.

    Attributes:
        file: Name of the file.
        line: Line number in the file, from 1; 0 where the file cannot be read.
        path: The field, such as `fleet.classes.0.name`; empty for the file as a whole.
        found: Description of the value found.
        expected: Description of the value expected.
    """

    def __init__(self, file: str, line: int, path: str, found: str, expected: str) -> None:
        self.file, self.line, self.path, self.found, self.expected = file, line, path, found, expected
        super().__init__(f"{file}:{line}: {path or 'the file'}: found {found}, expected {expected}")
