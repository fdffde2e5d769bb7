"""Packages and modules have no import cycles, and each package imports only what MAY_IMPORT allows.

MAY_IMPORT must agree with the table in docs/ARCHITECTURE.md, section Packages.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

import pytest

from .import_graph import Import, ImportGraph, find_cycle, package_of

ROOT = Path(__file__).resolve().parent.parent

# The packages, or single modules of them, that each package may import, from the lowest to the highest layer.
# A planned package may be listed before it is in the tree; the page must list it once it is.
MAY_IMPORT: dict[str, tuple[str, ...]] = {
    "hollybay": (),
    "hollybay.units": (),
    "hollybay.resources": (),
    "hollybay.balancing": (),
    "hollybay.routing": ("hollybay.balancing.interface", "hollybay.resources", "hollybay.units"),
    "hollybay.gossip": (),
    "hollybay.admin": ("hollybay.balancing.interface",),
    "hollybay.consensus": ("hollybay.resources", "hollybay.units"),
    "hollybay.proxy": (
        "hollybay.admin",
        "hollybay.balancing",
        "hollybay.consensus",
        "hollybay.gossip",
        "hollybay.resources",
        "hollybay.routing",
        "hollybay.units",
    ),
    "hollybay.testbed": ("hollybay.balancing", "hollybay.proxy", "hollybay.units"),
    "hollybay.simulation": (
        "hollybay.balancing",
        "hollybay.consensus",
        "hollybay.proxy",
        "hollybay.resources",
        "hollybay.testbed",
        "hollybay.units",
    ),
    "hollybay.cluster": (
        "hollybay.balancing",
        "hollybay.consensus",
        "hollybay.gossip",
        "hollybay.proxy",
        "hollybay.resources",
        "hollybay.routing",
        "hollybay.testbed",
        "hollybay.units",
    ),
    "hollybay.hollow": (
        "hollybay.admin",
        "hollybay.balancing",
        "hollybay.consensus",
        "hollybay.proxy",
        "hollybay.resources",
        "hollybay.units",
    ),
    "hollybay.mutation": (),
    "hollybay.cli": (
        "hollybay.balancing",
        "hollybay.cluster",
        "hollybay.consensus",
        "hollybay.proxy",
        "hollybay.resources",
        "hollybay.routing",
        "hollybay.simulation",
        "hollybay.testbed",
        "hollybay.units",
    ),
    "benchmarks": (
        "hollybay.balancing",
        "hollybay.cli",
        "hollybay.cluster",
        "hollybay.consensus",
        "hollybay.hollow",
        "hollybay.proxy",
        "hollybay.resources",
        "hollybay.routing",
        "hollybay.simulation",
        "hollybay.testbed",
        "hollybay.units",
    ),
}
TESTS = "tests"  # may import every package, and no package may import them
# Installed packages that the layers below the proxy may import, beside the standard library.
MAY_INSTALL: dict[str, frozenset[str]] = {
    "hollybay": frozenset(),
    "hollybay.resources": frozenset({"immutables", "msgspec"}),
    "hollybay.balancing": frozenset(),
    "hollybay.routing": frozenset({"immutables", "msgspec"}),
    "hollybay.gossip": frozenset(),
    "hollybay.admin": frozenset({"prometheus_client"}),
    "hollybay.consensus": frozenset({"immutables", "msgspec"}),
}


def is_allowed(edge: Import, allowed: tuple[str, ...]) -> bool:
    """Return whether an import's target is an allowed package or module, or a module within one."""
    return any(edge.target == name or edge.target.startswith(f"{name}.") for name in allowed)


def forbidden_imports(graph: ImportGraph, table: dict[str, tuple[str, ...]]) -> list[str]:
    """Return the imports between packages that a table does not allow."""
    return [
        str(edge)
        for edge in graph.between_packages()
        if not is_allowed(edge, table.get(package_of(edge.source), ()))
    ]


def foreign_imports(graph: ImportGraph, table: dict[str, frozenset[str]]) -> list[str]:
    """Return the imports of installed packages that a table does not allow to the packages in it."""
    return [
        str(edge)
        for edge in graph.from_outside()
        for package in [package_of(edge.source)]
        for name in [edge.target.split(".")[0]]
        if package in table and name not in sys.stdlib_module_names | table[package]
    ]


@pytest.fixture(scope="module")
def graph() -> ImportGraph:
    return ImportGraph.read(ROOT)


def test_packages_have_no_import_cycle(graph: ImportGraph) -> None:
    assert graph.package_cycle() == []


def test_modules_have_no_import_cycle(graph: ImportGraph) -> None:
    assert graph.module_cycle() == []


def test_each_package_imports_only_what_the_table_allows(graph: ImportGraph) -> None:
    table = MAY_IMPORT | {TESTS: tuple(MAY_IMPORT)}
    assert graph.packages <= set(
        table
    ), f"packages without a row in MAY_IMPORT: {sorted(graph.packages - set(table))}"
    assert forbidden_imports(graph, table) == []


def test_lower_layers_import_only_allowed_installed_packages(graph: ImportGraph) -> None:
    assert foreign_imports(graph, MAY_INSTALL) == []


def test_the_table_has_no_cycle() -> None:
    edges = [(package, package_of(name)) for package, names in MAY_IMPORT.items() for name in names]
    assert find_cycle(edges) == []


def test_the_page_agrees_with_the_table(graph: ImportGraph) -> None:
    page = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
    rows = re.findall(r"^\| `([\w.]+)` \| .* \| (.*) \|$", page.split("\n## Packages\n")[1], re.MULTILINE)
    on_page = {package: set(re.findall(r"`([\w.]+)`", imports)) for package, imports in rows}
    in_tree = graph.packages - {TESTS}
    assert on_page == {
        package: {name for name in names if package_of(name) in in_tree}
        for package, names in MAY_IMPORT.items()
        if package in in_tree
    }


# Tests of the checks themselves, on small graphs and on small trees that break the rules.


def test_a_cycle_is_reported_in_the_direction_of_its_edges() -> None:
    cycle = find_cycle([("a", "b"), ("b", "c"), ("c", "a"), ("c", "d"), ("e", "a")])
    assert cycle in (["a", "b", "c", "a"], ["b", "c", "a", "b"], ["c", "a", "b", "c"])
    assert find_cycle([("a", "b"), ("b", "c"), ("a", "c")]) == []


def tree(root: Path, files: dict[str, str]) -> ImportGraph:
    """Write the files, making each folder a package, and return their import graph."""
    for name, text in files.items():
        path = root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        (path.parent / "__init__.py").touch()
        path.write_text(text)
    return ImportGraph.read(root)


IMPORT_PLACES = {
    "at the top": "from {target} import name\n",
    "as a whole module": "import {target}\n",
    "under another name": "import {target} as other\n",
    "under TYPE_CHECKING": "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    import {target}\n",
    "in a function": "def late():\n    from {target} import name\n",
    "in a method": "class Late:\n    async def run(self):\n        import {target}\n",
    "where an error is caught": "try:\n    import {target}\nexcept ImportError:\n    pass\n",
}


@pytest.mark.parametrize("text", IMPORT_PLACES.values(), ids=IMPORT_PLACES.keys())
def test_a_cycle_is_found_wherever_the_import_appears(tmp_path: Path, text: str) -> None:
    files = {"low/a.py": text.format(target="high.b"), "high/b.py": "from low import a\n"}
    found = tree(tmp_path, files)
    assert found.package_cycle() in (["low", "high", "low"], ["high", "low", "high"])
    assert found.module_cycle() in (["low.a", "high.b", "low.a"], ["high.b", "low.a", "high.b"])


def test_a_package_cycle_is_found_without_a_module_cycle(tmp_path: Path) -> None:
    files = {"low/a.py": "", "low/c.py": "import high.b\n", "high/b.py": "import low.a\n"}
    found = tree(tmp_path, files)
    assert found.module_cycle() == []
    assert set(found.package_cycle()) == {"low", "high"}


@pytest.mark.parametrize("text", ["from . import b\n", "from .b import name\n", "from ..one import b\n"])
def test_a_cycle_of_relative_imports_is_found(tmp_path: Path, text: str) -> None:
    found = tree(
        tmp_path, {"one/a.py": text, "one/b.py": "from one.c import d\n", "one/c.py": "import one.a\n"}
    )
    assert found.package_cycle() == []
    assert set(found.module_cycle()) == {"one.a", "one.b", "one.c"}


def test_relative_imports_are_resolved_in_subpackages(tmp_path: Path) -> None:
    (tmp_path / "one").mkdir()
    (tmp_path / "one" / "__init__.py").write_text("from .inner import leaf\n")
    found = tree(tmp_path, {"one/inner/leaf.py": "from .. import top\n", "one/top.py": ""})
    assert [(edge.source, edge.target) for edge in found.imports] == [
        ("one", "one.inner.leaf"),
        ("one.inner.leaf", "one.top"),
    ]


def test_no_cycle_is_found_in_a_tree_without_one(tmp_path: Path) -> None:
    files = {"low/a.py": "import os\n", "mid/b.py": "import low.a\n", "high/c.py": "import low.a, mid.b\n"}
    found = tree(tmp_path, files)
    assert found.package_cycle() == [] and found.module_cycle() == []


def test_an_import_that_the_table_does_not_allow_is_found(tmp_path: Path) -> None:
    files = {
        "low/face.py": "",
        "low/faces.py": "",
        "high/b.py": "from low import face\n\n\ndef late():\n    from low import faces\n",
    }
    found = tree(tmp_path, files)
    assert forbidden_imports(found, {"high": ("low",)}) == []
    assert forbidden_imports(found, {"high": ("low.face",)}) == ["high.b:5 imports low.faces"]
    assert len(forbidden_imports(found, {})) == 2


def test_an_installed_package_that_the_table_does_not_allow_is_found(tmp_path: Path) -> None:
    found = tree(tmp_path, {"low/a.py": "import os.path\nimport msgspec\n", "high/b.py": "import click\n"})
    assert foreign_imports(found, {"low": frozenset({"msgspec"})}) == []
    assert foreign_imports(found, {"low": frozenset()}) == ["low.a:2 imports msgspec"]
