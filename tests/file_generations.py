"""Generations of files for tests."""

from quillstep.files.generation_files import GenerationEncoder, encode_manifest
from quillstep.routing.resources import make_resource


def contents(weight=5.0, lines=12):
    """A small whole set."""
    rows = {("pool", 0): (), ("share", 0): (), ("routes",): ((0, 0, None, 1), (1, 0, 3.0, 0)), ("entry",): ()}
    rows.update({("line", 0, at): ("127.0.0.1", 9000 + at, float(at)) for at in range(1, lines)})
    rows["line", 0, lines] = ("127.0.0.1", 9000 + lines, weight)
    return {key: make_resource(key, what) for key, what in rows.items()}


def packed(pilot, number, weight, form="protobuf"):
    encoder = GenerationEncoder(pilot.encoder, form, 4)
    made = contents(weight)
    files = encoder.files(made)
    return files, encode_manifest("e", number, number, 0.0, files)
