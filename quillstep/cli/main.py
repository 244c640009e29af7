"""`quillstep`: one pilot, a scripted day, checks and measurements."""

import os
import sys
import threading
from pathlib import Path
from typing import Any

import click
import msgspec
import structlog
from rich.console import Console
from rich.table import Table

from quillstep.cli.store import store, tables
from quillstep.config.controller import ControllerSettings
from quillstep.config.errors import ConfigError
from quillstep.config.loading import changed, load
from quillstep.config.scenario import ScenarioSettings
from quillstep.logging import configure_logging


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log", "form", type=click.Choice(["auto", "human", "json"]), default="auto", help="Form of log lines.")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
@click.version_option(package_name=None, version="0.2.0", prog_name="quillstep")
def cli(form: str, log_level: str) -> None:
    """A central planner behind a layer of plain proxies."""
    configure_logging(form, log_level)


def checked(kind: type, path: str) -> Any:
    try:
        return load(kind, path)
    except ConfigError as fault:
        click.echo(f"quillstep: {fault}", err=True)
        sys.exit(2)


@cli.command()
@click.option("--settings", required=True, type=click.Path(), help="The pilot's record, a .cue file.")
@click.option("--with-parent", is_flag=True, help="End when standard input does.")
def pilot(settings: str, with_parent: bool) -> None:
    """Run one pilot until it is told to stop."""
    record = checked(ControllerSettings, settings)
    from quillstep.controller.service import Controller
    from quillstep.files.disk import UnusableFileError
    from quillstep.store import StoreError, StoreSchemaTooNewError
    from quillstep.store.writer import opened

    kept = None
    try:
        kept = opened(record.store) if record.store.folder else None
    except StoreSchemaTooNewError as error:
        click.echo(f"quillstep: {settings}: store.folder: {error}", err=True)
        sys.exit(2)
    except StoreError as trouble:
        structlog.get_logger("store").error("store left out", kind=trouble.reason, reason=str(trouble))
        record = record.model_copy(update={"store": record.store.model_copy(update={"folder": ""})})
    try:
        running = Controller(record, kept)
    except UnusableFileError as trouble:
        click.echo(f"quillstep: {settings}: files.root: {trouble}", err=True)
        sys.exit(2)
    except OSError as trouble:
        where = trouble.filename or record.listen
        click.echo(f"quillstep: {settings}: {where}: {trouble.strerror or trouble}", err=True)
        sys.exit(2)
    addresses = {"reports": running.processes.addresses} if running.processes else {}
    click.echo(msgspec.json.encode({"ready": running.server.address, **addresses}).decode())
    sys.stdout.flush()
    if with_parent:
        threading.Thread(target=_end_with_input, daemon=True, args=(running.stop,)).start()
    try:
        running.run()
    except KeyboardInterrupt:
        running.server.stop()


def _end_with_input(stop: Any) -> None:
    sys.stdin.buffer.read()
    stop()
    threading.Timer(5.0, os._exit, (0,)).start()


@cli.command()
@click.argument("script", type=click.Path())
@click.option("--record", "folder", type=click.Path(), default=".day", help="Where the sockets' record goes.")
@click.option("--arm", "arms", multiple=True, help="Only these: learnt, standing, even, listed.")
@click.option("--seed", type=int, help="Another seed than the script's.")
@click.option("--set", "changes", multiple=True, help="path=value in the script's record.")
def day(script: str, folder: str, arms: tuple[str, ...], seed: int | None, changes: tuple[str, ...]) -> None:
    """Play a scripted day on loopback and judge the five rules from the sockets' record.

    The last line of standard output is one JSON object.
    """
    record = checked(ScenarioSettings, script)
    if seed is not None:
        changes = (*changes, f"seed={seed}")
    try:
        record = changed(record, changes_of(changes))
    except ConfigError as fault:
        click.echo(f"quillstep: {fault}", err=True)
        sys.exit(2)
    from quillstep.testbed.scenarios.child_processes import ChildError
    from quillstep.testbed.scenarios.runner import play_day

    try:
        found = play_day(record, Path(folder), list(arms) or None)
    except ChildError as trouble:
        click.echo(f"quillstep: {trouble}", err=True)
        sys.exit(1)
    show(found)
    click.echo(msgspec.json.encode(found).decode())
    sys.exit(1 if found["rules_broken"] else 0)


def show(found: dict[str, Any]) -> None:
    """The outcome as a table, on standard error."""
    table = Table(title=f"{found['day']}: service (loopback)")
    table.add_column("arm")
    table.add_column("service", justify="right")
    table.add_row("quillstep", f"{found['service']:.3f}")
    for name, value in found["baselines"].items():
        table.add_row(name, f"{value:.3f}")
    console = Console(stderr=True)
    console.print(table)
    for broken in found["breaks"]:
        console.print(f"broken: {broken}")


@cli.group()
def capture() -> None:
    """Captures of pilots: list, show, cut, verify."""


def lives_of(folder: str) -> Any:
    from quillstep.recording import CorruptBlockError, lives

    try:
        found = lives(Path(folder))
    except CorruptBlockError as trouble:
        click.echo(f"quillstep: {trouble}", err=True)
        sys.exit(1)
    if not found:
        click.echo(f"quillstep: no capture in {folder}", err=True)
        sys.exit(1)
    return found


@capture.command("ls")
@click.argument("folder", type=click.Path(exists=True))
def capture_ls(folder: str) -> None:
    """The lives in a folder: when, how long, how much of what."""
    table = Table(title=folder)
    for name in ("life", "segments", "records", "seconds", "kB", "torn"):
        table.add_column(name, justify="left" if name in ("life", "torn") else "right")
    for life in lives_of(folder):
        span = (life.last_ms - life.first_ms) / 1000.0
        kinds = ", ".join(f"{count} {kind}" for kind, count in life.kinds.most_common())
        row = [str(len(life.segments)), str(life.records), f"{span:.1f}", str(life.bytes // 1000)]
        table.add_row(f"{life.header.epoch}\n{kinds}", *row, life.torn or "no")
    Console().print(table)


@capture.command("show")
@click.argument("folder", type=click.Path(exists=True))
@click.option("--life", help="The life's name; the first one if left out.")
@click.option("--from", "begin", default=0.0, help="Seconds from the life's beginning.")
@click.option("--for", "span", default=1.0, show_default=True, help="Seconds.")
@click.option("--kind", "kinds", multiple=True, help="Only records of this kind.")
def capture_show(folder: str, life: str | None, begin: float, span: float, kinds: tuple[str, ...]) -> None:
    """Records of a span, a JSON line each; messages by their size."""
    from quillstep.recording.reader import between

    found = chosen(lives_of(folder), life)
    first = found.first_ms + begin * 1000.0
    for record in between(found, Path(folder), first, first + span * 1000.0):
        if not kinds or record[0] in kinds:
            shown = [f"{len(each)} bytes" if isinstance(each, bytes) else each for each in record]
            click.echo(msgspec.json.encode(shown).decode())


def chosen(found: Any, life: str | None) -> Any:
    matching = [each for each in found if life in (None, each.header.epoch)]
    if not matching:
        click.echo(f"quillstep: no life {life}; there are {', '.join(e.header.epoch for e in found)}", err=True)
        sys.exit(2)
    return matching[0]


@capture.command("cut")
@click.argument("folder", type=click.Path(exists=True))
@click.argument("out", type=click.Path())
@click.option("--life", help="The life's name; the first one if left out.")
@click.option("--for", "span", required=True, type=float, help="Seconds from the life's beginning.")
def capture_cut(folder: str, out: str, life: str | None, span: float) -> None:
    """The beginning of a life as a capture of its own; it replays like the whole."""
    from quillstep.recording.reader import cut

    found = chosen(lives_of(folder), life)
    count = cut(found, found.first_ms, found.first_ms + span * 1000.0, Path(out))
    click.echo(f"{out}: {count} records of {found.header.epoch}")


@capture.command("verify")
@click.argument("folder", type=click.Path(exists=True))
def capture_verify(folder: str) -> None:
    """Read all of it, checksums included; status 1 if any of it is damaged, 0 if at most a tail is torn."""
    for life in lives_of(folder):
        click.echo(f"{life.header.epoch}: {life.records} records whole" + (f"; torn: {life.torn}" if life.torn else ""))


@capture.command("keep")
@click.argument("folder", type=click.Path(exists=True))
@click.argument("out", type=click.Path())
def capture_keep(folder: str, out: str) -> None:
    """What replays need of a played arm, and no more: captures, the fleet, the exchanges."""
    from quillstep.recording import CorruptBlockError
    from quillstep.replay.recorded_day import keep

    try:
        click.echo(f"{out}: {keep(Path(folder), Path(out))} exchanges")
    except (OSError, CorruptBlockError) as trouble:
        click.echo(f"quillstep: {trouble}", err=True)
        sys.exit(2)


@cli.group()
def replay() -> None:
    """Captured days played again."""


@replay.command()
@click.argument("folder", type=click.Path(exists=True))
def faithful(folder: str) -> None:
    """Play every life of a capture through the pilot's own core; its orders must come out bit for bit.

    The last line of standard output is one JSON object; status 1 at the first difference.
    """
    import time

    from quillstep.recording import read_life
    from quillstep.replay.faithful import Replay

    configure_logging("auto", "error")
    rows = []
    for life in lives_of(folder):
        begun = time.perf_counter()
        outcome = Replay(life.header).play(read_life(life))
        took = time.perf_counter() - begun
        rows.append({
            "life": life.header.epoch, "identical": outcome.identical, "rounds": outcome.rounds,
            "records": outcome.records, "digest": outcome.digest, "seconds": round(outcome.span_ms / 1000.0, 1),
            "times_real": round(outcome.span_ms / 1000.0 / max(took, 1e-9), 1), "torn": life.torn,
            "difference": outcome.difference,
        })  # fmt: skip
    same = all(row["identical"] for row in rows)
    click.echo(msgspec.json.encode({"identical": same, "lives": rows}).decode())
    sys.exit(0 if same else 1)


def changes_of(texts: tuple[str, ...]) -> dict[str, Any]:
    from quillstep.config.loading import parse_changes

    try:
        return parse_changes(texts)
    except ConfigError as fault:
        click.echo(f"quillstep: {fault}", err=True)
        sys.exit(2)


def daybook_of(folder: str) -> Any:
    from quillstep.recording import CorruptBlockError
    from quillstep.replay.recorded_day import read_daybook

    configure_logging("auto", "error")
    try:
        return read_daybook(Path(folder))
    except (OSError, CorruptBlockError) as trouble:
        click.echo(f"quillstep: {trouble}", err=True)
        sys.exit(2)


SET = "path=value in a pilot's settings, e.g. fleet.proxies.ejects=3."


@replay.command()
@click.argument("folder", type=click.Path(exists=True))
@click.option("--set", "changes", multiple=True, help=SET)
@click.option(
    "--against",
    "against",
    multiple=True,
    help="The same, for the day to compare with; as it was if left out.",
)
@click.option("--seeds", default=3, show_default=True)
@click.option("--chart", type=click.Path(), help="A PNG of service over time.")
@click.option("--out", type=click.Path(), help="A file to keep the result in.")
def compare(
    folder: str,
    changes: tuple[str, ...],
    against: tuple[str, ...],
    seeds: int,
    chart: str | None,
    out: str | None,
) -> None:
    """Would another setting have helped?  Replays a captured day with it, beside the day as it was.

    FOLDER is one arm of a day played with captures.  The last line of standard output is one JSON object.
    """
    from quillstep.replay.whatif import compare as compare_days

    book = daybook_of(folder)
    try:
        found = compare_days(book, changes_of(against), changes_of(changes), seeds)
    except ConfigError as fault:
        click.echo(f"quillstep: {fault}", err=True)
        sys.exit(2)
    show_comparison(folder, found)
    if chart:
        from quillstep.bench.charts import service_over_time

        service_over_time(found, Path(chart))
    if out:
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(found)) + b"\n")
    click.echo(msgspec.json.encode(found).decode())


def show_comparison(folder: str, found: dict[str, Any]) -> None:
    """A comparison as tables, on standard error; it says when it can't tell."""
    console = Console(stderr=True)
    runs = ["measured", "replayed", *(["against"] if found["against"] else []), "changed"]
    table = Table(title=f"{folder}: service, replayed in virtual time")
    for name in ("", *runs):
        table.add_column(name, justify="left" if not name else "right")
    whole = {"measured": found["measured"], **found["service"]}
    table.add_row("all", *(f"{whole[name]:.3f}" for name in runs))
    for name, row in found["by_class"].items():
        table.add_row(name, *(f"{row[run]:.3f}" for run in runs))
    for cause in sorted({cause for row in found["lost_by_cause"].values() for cause in row}):
        lost = (found["lost_by_cause"][run].get(cause, 0.0) for run in runs)
        table.add_row(f"credit {cause}", *(f"{part:.3f}" for part in lost))
    broken = found["rules_broken"]
    table.add_row("rules broken", *(str(broken.get(run, "")) for run in runs))
    console.print(table)
    for each in found["breaks"]:
        console.print(f"would break: {each}")
    fate = found["changed_fate"]
    if found["tells"]:
        console.print(f"gain {found['gain']:+.4f}, noise over {found['seeds']} seeds {found['noise']:.4f}; "
                      f"{fate['won']} exchanges won, {fate['lost']} lost")  # fmt: skip
    else:
        console.print(f"can't tell: the day's own replay misses by {found['error']:+.3f}, {found['tolerance']} allowed")


@replay.command()
@click.argument("folder", type=click.Path(exists=True))
@click.argument("setting")
@click.option("--seeds", default=3, show_default=True)
@click.option("--chart", type=click.Path(), help="A PNG of service against the values.")
def sweep(folder: str, setting: str, seeds: int, chart: str | None) -> None:
    """Several values of one setting, e.g. fleet.proxies.ejects=1,2,5, on all cores."""
    from quillstep.replay.sweep import run

    path, _, values = setting.partition("=")
    changes = [changes_of((f"{path}={value}",)) for value in values.split(",") if value]
    try:
        rows = run(daybook_of(folder), changes, seeds)
    except ConfigError as fault:
        click.echo(f"quillstep: {fault}", err=True)
        sys.exit(2)
    table = Table(title=f"{folder}: {path}")
    for name in ("value", "service", "noise", "rules broken"):
        table.add_column(name, justify="right")
    for row in rows:
        table.add_row(str(row["value"]), f"{row['service']:.4f}", f"{row['noise']:.4f}", str(row["rules_broken"]))
    Console(stderr=True).print(table)
    if chart:
        from quillstep.bench.charts import sweep as draw

        draw(rows, path, Path(chart))
    click.echo(msgspec.json.encode({"setting": path, "rows": rows}).decode())


@cli.command()
@click.argument("folder", type=click.Path(exists=True))
@click.argument("exchange", required=False)
@click.option("--all", "all_of_them", is_flag=True, help="How all answers of the run trace.")
def trace(folder: str, exchange: str | None, all_of_them: bool) -> None:
    """Which table priced an exchange: from its answer back to the round that ordered it, and the news that round had.

    FOLDER is an arm of a played day.  The last line of standard output is one JSON object; status 1 if anything is
    missing of a chain.
    """
    from quillstep.tracing.report import cause, lineage_of, summary, told

    if bool(exchange) == all_of_them:
        raise click.UsageError("name one exchange, or --all")
    try:
        lineage = lineage_of(Path(folder))
        if all_of_them:
            found = summary(lineage)
            click.echo(msgspec.json.encode(found).decode())
            sys.exit(1 if found["untraced"] else 0)
        chain = lineage.trace(str(exchange))
    except (FileNotFoundError, KeyError) as trouble:
        click.echo(f"quillstep: {trouble}", err=True)
        sys.exit(2)
    links = []
    for link in chain.links:
        behind = cause(Path(folder), link) if link.round else None
        links.append({**told(chain, link), "round_behind": msgspec.to_builtins(behind)})
    found = {**chain._asdict(), "links": links, "gaps": chain.gaps}
    Console(stderr=True).print_json(data=found)
    click.echo(msgspec.json.encode(found).decode())
    sys.exit(1 if chain.gaps else 0)


@cli.command()
@click.option("--depth", default=12, show_default=True, help="Steps of the model; the code is explored half as deep.")
def prove(depth: int) -> None:
    """Check the stream protocol within bounds: z3 on its model, all nearby states of the real code, broken twins.

    The last line of standard output is one JSON object; status 1 if anything is wrong or a twin is not found.
    """
    from quillstep.model_checking.runner import prove as run

    found = run(depth)
    table = Table(title="the stream protocol, within bounds")
    for name in ("by", "what", "twin", "depth", "states", "took_s", "run"):
        table.add_column(name, justify="right" if name in ("depth", "states", "took_s") else "left")
    for row in found["rows"]:
        cells = [str(row.get(name, "")) for name in ("by", "what", "twin", "depth", "states", "took_s")]
        table.add_row(*cells, "; ".join(row["run"]))
    Console(stderr=True).print(table)
    click.echo(msgspec.json.encode({name: value for name, value in found.items() if name != "rows"}).decode())
    sys.exit(1 if found["wrong"] or found["twins_found"] < found["twins"] else 0)


cli.add_command(tables)
cli.add_command(store)


@cli.group()
def bench() -> None:
    """Measurements on loopback; the last line of standard output is one JSON object."""


@bench.command()
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option("--exchanges", default=860.0, show_default=True, help="A second, at the largest size.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--pilots", default=1, show_default=True)
@click.option("--record", "folder", type=click.Path(), default=".day/bench", help="Where the sockets' record goes.")
@click.option("--out", type=click.Path(), help="A file to keep the result in.")
def streams(
    sizes: tuple[int, ...], exchanges: float, seconds: float, pilots: int, folder: str, out: str | None
) -> None:
    """Proxies a pilot carries, time to the last acknowledgement of a drain, cost of a changed slot."""
    from quillstep.bench.streams import run

    finish(run(list(sizes), exchanges, seconds, pilots, Path(folder)), out)


@bench.command()
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option("--exchanges", default=400.0, show_default=True, help="A second, at the largest size.")
@click.option("--seconds", default=12.0, show_default=True)
@click.option("--record", "folder", type=click.Path(), default=".day/bench", help="Where the sockets' record goes.")
@click.option("--out", type=click.Path(), help="A file to keep the result in.")
def fronts(sizes: tuple[int, ...], exchanges: float, seconds: float, folder: str, out: str | None) -> None:
    """Streams and files side by side, against whole tables sent again."""
    from quillstep.bench.fronts import run

    finish(run(list(sizes), exchanges, seconds, Path(folder)), out)


@bench.command("reports")
@click.option("--proxies", "sizes", multiple=True, type=int, default=[64, 262, 1000, 2000], show_default=True)
@click.option("--by", "ways", multiple=True, type=click.Choice(["inbox", "thread", "processes"]),
              default=["inbox", "thread", "processes"], show_default=True)  # fmt: skip
@click.option("--exchanges", default=300.0, show_default=True, help="A second, at every size.")
@click.option("--spans", default=4, show_default=True, help="With and without reports, in turn.")
@click.option("--set", "changes", multiple=True, help="field=value in the reports' record.")
@click.option("--record", "folder", type=click.Path(), default=".day/bench", help="Where the sockets' record goes.")
@click.option("--out", type=click.Path(), help="A file to keep the result in.")
@click.option("--chart", type=click.Path(), help="A PNG of the result.")
def bench_reports(
    sizes: tuple[int, ...], ways: tuple[str, ...], exchanges: float, spans: int, changes: tuple[str, ...],
    folder: str, out: str | None, chart: str | None,
) -> None:  # fmt: skip
    """Drains with and without the load of many reports, what reading costs, by three ways of reading."""
    from quillstep.bench.load_reports import run

    found = run(list(sizes), list(ways), exchanges, spans, Path(folder), changes_of(changes))
    if chart:
        from quillstep.bench.charts import reports as draw

        draw(found["rows"], Path(chart))
    finish(found, out)


@bench.command("lineage")
@click.option("--proxies", default=262, show_default=True)
@click.option("--exchanges", default=860.0, show_default=True, help="A second.")
@click.option("--seconds", default=20.0, show_default=True, help="Of each arm.")
@click.option("--turns", default=2, show_default=True, help="Of each arm: nothing kept, the record, record and spans.")
@click.option("--depth", default=12, show_default=True, help="Of the model, as in `quillstep prove`.")
@click.option("--record", "folder", type=click.Path(), default=".day/bench", help="Where the sockets' record goes.")
@click.option("--out", type=click.Path(), help="A file to keep the result in.")
def bench_lineage(
    proxies: int, exchanges: float, seconds: float, turns: int, depth: int, folder: str, out: str | None
) -> None:
    """Every answer of a run traced, verdicts on late orders against the truth, costs, spreading, the model."""
    from quillstep.bench.tracing import run

    configure_logging("auto", "error")
    finish(run(proxies, exchanges, seconds, turns, depth, Path(folder)), out)


@bench.command("store")
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option("--seeds", default=3, show_default=True, help="Of the crash, each with and without.")
@click.option("--seconds", default=15.0, show_default=True, help="Of the day that costs are taken on.")
@click.option("--record", "folder", type=click.Path(), default=".day/bench", help="Where the sockets' record goes.")
@click.option("--out", type=click.Path(), help="A file to keep the result in.")
@click.option("--kills", default=2000, show_default=True, help="Of a store's writer, at its write points.")
def bench_store(sizes: tuple[int, ...], seeds: int, seconds: float, kills: int, folder: str, out: str | None) -> None:
    """Commits, rollbacks against whole tables, a pilot's crash with a store and without."""
    from quillstep.bench.store import run

    configure_logging("auto", "error")
    finish(run(list(sizes), seeds, seconds, kills, Path(folder) / "store"), out)


@bench.command("replay")
@click.option("--proxies", default=262, show_default=True)
@click.option("--exchanges", default=860.0, show_default=True, help="A second, of the large day.")
@click.option("--seconds", default=60.0, show_default=True, help="Of the large day.")
@click.option("--record", "folder", type=click.Path(), default=".day/bench", help="Where the captured days go.")
@click.option("--out", type=click.Path(), help="A file to keep the result in.")
def bench_replay(proxies: int, exchanges: float, seconds: float, folder: str, out: str | None) -> None:
    """Speed of both replays on a large day, and how near the model comes to five kinds of days."""
    from quillstep.bench.replay import run

    configure_logging("auto", "error")
    finish(run(proxies, exchanges, seconds, Path(folder)), out)


def finish(found: dict[str, Any], out: str | None) -> None:
    """A bench's rows as a table, kept in a file if asked, and as the last line."""
    table = Table(title=f"{found['bench']} (loopback; {found['machine']})")
    rows = found["rows"]
    names = [name for name in dict.fromkeys(name for row in rows for name in row) if name != "breaks"]
    if len(rows) > 4:  # many rows: a line each
        for name in names:
            table.add_column(name.replace("_", " "), justify="right")
        for row in rows:
            table.add_row(*(str(row.get(name, "")) for name in names))
    else:
        table.add_column("figure")
        for _ in rows:
            table.add_column(justify="right")
        for name in names:
            table.add_row(name, *(str(row.get(name, "")) for row in rows))
    Console(stderr=True).print(table)
    if out:
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(found)) + b"\n")
    click.echo(msgspec.json.encode(found).decode())


@cli.command()
@click.argument("kind", type=click.Choice(["pilot", "day"]))
@click.argument("path", type=click.Path())
def check(kind: str, path: str) -> None:
    """Check a settings file and say what is wrong with it."""
    checked({"pilot": ControllerSettings, "day": ScenarioSettings}[kind], path)
    click.echo(f"{path}: a sound {kind} record")


def main() -> None:
    cli(prog_name="quillstep")
