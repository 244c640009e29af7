"""Generations as files, and back."""

import pytest
from file_generations import contents, packed
from memory_fleet import MemoryController

from quillstep.files.generation_files import decode, read_resources


@pytest.mark.parametrize("form", ["protobuf", "json"])
def test_files_of_both_forms_read_back_as_what_was_written(form):
    pilot = MemoryController()
    files, _ = packed(pilot, 1, 5.0, form)
    found = read_resources({file.name: file.data for file in files})
    assert {k: c.version for k, c in found.items()} == {k: c.version for k, c in contents().items()}
    for file in files:
        response = decode(file.name, file.data)
        assert response.version_info and response.type_url.startswith("type.googleapis.com/envoy.")
