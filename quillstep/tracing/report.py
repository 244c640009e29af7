"""What `quillstep trace` tells: one exchange's chain, or how all of a run's answers trace."""

from pathlib import Path
from typing import Any

from quillstep.config.controller import ControllerSettings
from quillstep.config.loading import load
from quillstep.invariants import Evidence, read_evidence
from quillstep.recording import lives, read_life
from quillstep.tracing.causes import Round, why
from quillstep.tracing.chain import STANDING, Chain, Lineage, Link

GAPS_SHOWN = 10


def lineage_of(folder: Path) -> Lineage:
    """The record of one played arm; raises FileNotFoundError where there is none."""
    settings = sorted(folder.glob("pilot-*.cue"))
    if not settings:
        raise FileNotFoundError(f"{folder} holds no pilot's settings: is it an arm of a played day?")
    return Lineage(read_evidence(folder, Evidence(load(ControllerSettings, settings[0]).fleet)))


def cause(folder: Path, link: Link) -> Round | None:
    """The round behind a link, from whichever capture has that life."""
    for path in sorted(folder.glob("capture-*")):
        for life in lives(path):
            if life.header.epoch == link.pilot:
                return why(read_life(life), link.round, link.resource)
    return None


def told(chain: Chain, link: Link) -> dict[str, Any]:
    """A link with times relative to the exchange: how old its table was."""
    found = {name: value for name, value in link._asdict().items() if value not in ("", None, 0)}
    for name in ("ordered_ms", "sent_ms", "applied_ms", "acknowledged_ms"):
        if name in found:
            found[name.replace("_ms", "_before_ms")] = round(chain.at_ms - found.pop(name), 1)
    return found


def summary(lineage: Lineage) -> dict[str, Any]:
    """All answers of a run: how many trace, what is missing of the others."""
    found: dict[str, Any] = {
        "exchanges": 0, "answers": 0, "untraced": 0, "standing": 0, "word_lost": 0, "rounds": 0, "gaps": [],
        "oldest_order_ms": 0.0,
    }  # fmt: skip
    rounds: set[tuple[str, int]] = set()
    for chain in lineage.all():
        found["exchanges"] += 1
        if chain.outcome != "ok":
            continue
        found["answers"] += 1
        if chain.gaps:
            found["untraced"] += 1
            if len(found["gaps"]) < GAPS_SHOWN:
                found["gaps"].append({"exchange": chain.exchange, "proxy": chain.proxy, "gaps": chain.gaps})
        for link in chain.links:
            if link.version == STANDING:
                found["standing"] += 1
            elif link.nonce and not link.gap:
                rounds.add((link.pilot, link.round))
                found["word_lost"] += link.acknowledged_ms is None
                if link.ordered_ms is not None:
                    found["oldest_order_ms"] = max(found["oldest_order_ms"], round(chain.at_ms - link.ordered_ms, 1))
    found["rounds"] = len(rounds)
    return found
