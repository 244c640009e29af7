"""Reads lines of the wire: fields, the settings of a start, list entries and load reports."""

from quillstep.config.start_settings import ms, number, planner_config_of_start, whole, yes
from quillstep.planner.messages import EndpointEntry

REQUIRED: dict[str, tuple[str, ...]] = {
    "turn": ("atTime",),
    "over_to_you": (),
    "start": ("i", "randomSeed"),
    "stop": ("i",),
    "manifest": ("bank", "membersList"),
    "item": ("endpoint", "regionPart", "availability", "part"),
    "membership": ("i", "mode"),
    "timer": ("i", "cookie"),
    "health": ("i", "endpoint", "disposition"),
    "heard": ("i",),
    "joined": ("i", "agent", "regionPart"),
    "disconnected": ("i", "agent"),
    "observed": ("i", "endpoint", "many", "errors"),
    "traffic": ("i", "service", "many", "agent"),
    "weight_seen": ("i", "mapId"),
    "assigned_to_me": ("i", "mapId"),
    "held": ("i", "mapId", "endpoint"),
    "applied": ("i", "serial", "agent"),
}


def fields(line: str) -> tuple[str, dict[str, str]]:
    """A line's name and its fields; ValueError says what is wrong with it."""
    name, *parts = line.split(" ")
    if name not in REQUIRED:
        raise ValueError(f"its name {name!r} is not known")
    found = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not equals or not key:
            raise ValueError(f"{part!r} is not a name=value pair")
        found[key] = value
    for key in REQUIRED[name]:
        if key not in found:
            raise ValueError(f"the field {key!r} of {name!r} is missing")
    return name, found


def load(found: dict[str, str]) -> dict[str, float]:
    """A load report: name:value pairs set apart by commas."""
    pairs = dict(part.partition(":")[::2] for part in found.get("gauge", "").split(",") if part)
    return {name: number(pairs, name) for name in pairs}


def entry(found: dict[str, str]) -> EndpointEntry:
    """One endpoint of a list."""
    return EndpointEntry(
        whole(found, "endpoint"),
        found["regionPart"],
        found["availability"],
        number(found, "part", 1.0),
        ms(found, "upSince"),
    )


__all__ = ["entry", "fields", "load", "ms", "number", "planner_config_of_start", "whole", "yes"]
