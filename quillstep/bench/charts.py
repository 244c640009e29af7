"""Charts of comparisons and benchmarks, as PNG files."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 (the backend must be selected first)

WORST_SPAN_S = 5  # Length of the marked span with the lowest service.
CHART_DPI = 110


def service_over_time(comparison: dict[str, Any], path: Path) -> None:
    """Draws measured, replayed and changed service per second, and marks the worst span of the last line."""
    figure, axes = pyplot.subplots(figsize=(9.0, 4.0))
    for name, style in (("measured", "k-"), ("replayed", "b--"), ("changed", "r-")):
        if name != "changed" or comparison["change"]:
            axes.plot(comparison["windows"][name], style, label=name, linewidth=1.2)
    rows = comparison["windows"]["changed" if comparison["change"] else "replayed"]
    if len(rows) >= WORST_SPAN_S:
        spans = [(sum(rows[start : start + WORST_SPAN_S]), start) for start in range(len(rows) - WORST_SPAN_S + 1)]
        worst = min(spans)[1]
        axes.axvspan(worst, worst + WORST_SPAN_S - 1, color="orange", alpha=0.2, label="worst 5 s")
    axes.set_xlabel("s")
    axes.set_ylabel("service")
    axes.set_ylim(0.0, 1.02)
    changed = ", ".join(f"{path}={value}" for path, value in comparison["change"].items()) or "no change"
    axes.set_title(
        f"{changed}: {comparison['service']['replayed']:.3f} to {comparison['service']['changed']:.3f} (replayed)"
    )
    axes.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(path, dpi=CHART_DPI)
    pyplot.close(figure)


def sweep(rows: list[dict[str, Any]], setting: str, path: Path) -> None:
    """Draws service over the values of one setting, with the noise over seeds as error bars."""
    figure, axes = pyplot.subplots(figsize=(7.0, 4.0))
    values = [str(row["value"]) for row in rows]
    axes.errorbar(values, [row["service"] for row in rows], yerr=[row["noise"] for row in rows], marker="o", capsize=4)
    axes.set_xlabel(setting)
    axes.set_ylabel("service (replayed)")
    figure.tight_layout()
    figure.savefig(path, dpi=CHART_DPI)
    pyplot.close(figure)


def reports(rows: list[dict[str, Any]], path: Path) -> None:
    """Draws the time to a drain's last acknowledgement and the CPU time, by size and reader.

    The time is the median, with and without load reports; the CPU time is that of the controller and its readers.
    """
    figure, (drains, cpu) = pyplot.subplots(1, 2, figsize=(11.0, 4.2))
    names = [f"{row['proxies']}\n{row['by']}" for row in rows]
    positions = range(len(rows))
    for offset, arm, color in ((-0.2, "with", "tab:red"), (0.2, "without", "tab:blue")):
        drains.bar([position + offset for position in positions], [row[f"last_ack_ms_{arm}"][0] for row in rows], 0.4,
                   color=color, label=f"{arm} reports")  # fmt: skip
    for position, row in enumerate(rows):
        if row["rules_broken"]:
            drains.text(position, row["last_ack_ms_with"][0], f"{row['rules_broken']}\nbroken", ha="center", fontsize=7)
    drains.set_yscale("log")
    drains.set_ylabel("ms to a drain's last acknowledgement")
    drains.legend()
    controller_cpu = [row["pilot_cpu"] - (0.0 if row["by"] == "processes" else row["readers_cpu"]) for row in rows]
    cpu.bar(positions, controller_cpu, color="tab:gray", label="controller without reading")
    cpu.bar(positions, [row["readers_cpu"] for row in rows], bottom=controller_cpu, color="tab:orange", label="reading")
    cpu.set_ylabel("cores")
    cpu.legend()
    for axes in (drains, cpu):
        axes.set_xticks(list(positions), names, fontsize=7, rotation=45)
    figure.suptitle("Loopback, 92 endpoints, reports of 92 rows once a second a proxy")
    figure.tight_layout()
    figure.savefig(path, dpi=CHART_DPI)
    pyplot.close(figure)
