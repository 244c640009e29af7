"""Generations of files for tests."""

from quillstep.files.generation_files import GenerationEncoder, encode_manifest
from quillstep.routing.resources import make_resource


def sample_resources(weight=5.0, endpoints=12):
    """Returns a small complete set of resources; `weight` is that of the last endpoint."""
    rows = {("pool", 0): (), ("share", 0): (), ("routes",): ((0, 0, None, 1), (1, 0, 3.0, 0)), ("entry",): ()}
    rows.update({("line", 0, number): ("127.0.0.1", 9000 + number, float(number)) for number in range(1, endpoints)})
    rows["line", 0, endpoints] = ("127.0.0.1", 9000 + endpoints, weight)
    return {key: make_resource(key, content) for key, content in rows.items()}


def sample_generation(controller, number, weight, form="protobuf"):
    """Returns the files and the manifest of a generation of `sample_resources`."""
    encoder = GenerationEncoder(controller.encoder, form, 4)
    resources = sample_resources(weight)
    files = encoder.files(resources)
    return files, encode_manifest("e", number, number, 0.0, files)
