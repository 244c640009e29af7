"""Packages import only packages of lower layers, as described in docs/ARCHITECTURE.md."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# From the lowest layer up; packages of the same layer do not import each other.
LAYERS = [
    ["errors", "log_writer", "logging"],
    ["planner", "net"],
    ["config"],
    ["simulator", "routing", "recording", "load_reports", "platform.protocol", "invariants"],
    ["store", "xds", "tracing"],
    ["files", "load_reports.readers"],
    ["controller", "testbed"],
    ["platform", "testbed.scenarios", "model_checking"],
    ["replay"],
    ["bench"],
    ["cli", "wirehost"],
]
LAYER_OF = {package: layer for layer, packages in enumerate(LAYERS) for package in packages}
NESTED = ("load_reports.readers", "platform.protocol", "testbed.scenarios")


def package_of(module):
    """Returns the package of a module, named relative to quillstep; empty for quillstep itself."""
    parts = module.split(".")[1:]
    nested = ".".join(parts[:2])
    return nested if nested in NESTED else parts[0] if parts else ""


def module_of(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports_of(path):
    """Yields the modules of quillstep that a file imports, including imports within functions."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.split(".")[0] == "quillstep":
            for alias in node.names:
                module = f"{node.module}.{alias.name}"
                is_module = (ROOT / (module.replace(".", "/") + ".py")).exists() or (
                    ROOT / module.replace(".", "/") / "__init__.py"
                ).exists()
                yield module if is_module else node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name.split(".")[0] == "quillstep")


FILES = sorted((ROOT / "quillstep").rglob("*.py"))
EDGES = {(module_of(path), target) for path in FILES for target in imports_of(path)}


def test_every_package_has_a_layer():
    assert {package_of(module_of(path)) for path in FILES} - {""} == set(LAYER_OF)


@pytest.mark.parametrize("package", LAYER_OF)
def test_a_package_imports_only_lower_layers(package):
    violations = [
        (source, target)
        for source, target in sorted(EDGES)
        if package_of(source) == package
        and package_of(target) not in ("", package)
        and LAYER_OF[package_of(target)] >= LAYER_OF[package]
    ]
    assert violations == []


def test_there_are_no_import_cycles():
    targets = {}
    for source, target in EDGES:
        if source != target:
            targets.setdefault(source, set()).add(target)
    visited, path = set(), []

    def visit(module):
        if module in path:
            raise AssertionError(" -> ".join([*path[path.index(module) :], module]))
        if module in visited:
            return
        path.append(module)
        for target in sorted(targets.get(module, ())):
            visit(target)
        path.pop()
        visited.add(module)

    for module in sorted(targets):
        visit(module)


def test_production_packages_do_not_import_the_testbed():
    production = {"planner", "controller", "platform", "platform.protocol", "routing", "store", "net", "xds", "files"}
    production |= {"recording", "load_reports", "tracing", "config", "simulator", "invariants"}
    assert not [
        edge for edge in sorted(EDGES) if package_of(edge[0]) in production and "testbed" in package_of(edge[1])
    ]


def test_paths_on_the_architecture_page_exist():
    page = (ROOT / "docs/ARCHITECTURE.md").read_text()
    paths = {
        path
        for path in re.findall(r"`([\w./-]+/[\w./-]*)`", page)
        if path.startswith(("quillstep/", "docs/", "deploy/"))
    }
    assert len(paths) > 40
    assert [path for path in sorted(paths) if not (ROOT / path).exists()] == []
