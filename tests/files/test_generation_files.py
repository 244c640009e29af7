"""Encoding generations as files, and decoding them."""

import pytest
from file_generations import sample_generation, sample_resources
from memory_fleet import MemoryController

from quillstep.files.generation_files import decode, read_resources


@pytest.mark.parametrize("form", ["protobuf", "json"])
def test_files_of_both_forms_decode_to_the_encoded_resources(form):
    controller = MemoryController()
    files, _ = sample_generation(controller, 1, 5.0, form)
    decoded = read_resources({file.name: file.data for file in files})
    assert {k: c.version for k, c in decoded.items()} == {k: c.version for k, c in sample_resources().items()}
    for file in files:
        response = decode(file.name, file.data)
        assert response.version_info and response.type_url.startswith("type.googleapis.com/envoy.")
