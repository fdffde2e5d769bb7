"""Imports point one way: no circles between packages or modules, and each package imports what it may.

The table is that of docs/ARCHITECTURE.md, section Packages, and the two must say the same.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

import pytest

from .import_graph import Import, ImportGraph, find_cycle, package_of

ROOT = Path(__file__).resolve().parent.parent

# What each package may import of the others, from the lowest to the highest: a package, or one module of it.
# A package that is not in the tree yet may stand here; the page names it when it comes.
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
TESTS = "tests"  # they may import everything, and nothing imports them
# What the packages below the node's edge take from outside, beside the standard library.
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
    """Whether an import of another package is of one that is allowed, or of a module within it."""
    return any(edge.target == name or edge.target.startswith(f"{name}.") for name in allowed)


def forbidden_imports(graph: ImportGraph, table: dict[str, tuple[str, ...]]) -> list[str]:
    """The imports between packages that a table does not allow."""
    return [
        str(edge)
        for edge in graph.between_packages()
        if not is_allowed(edge, table.get(package_of(edge.source), ()))
    ]


def foreign_imports(graph: ImportGraph, table: dict[str, frozenset[str]]) -> list[str]:
    """The imports of installed packages that a table does not allow to the packages that it names."""
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


def test_no_packages_import_one_another_in_a_circle(graph: ImportGraph) -> None:
    assert graph.package_cycle() == []


def test_no_modules_import_one_another_in_a_circle(graph: ImportGraph) -> None:
    assert graph.module_cycle() == []


def test_each_package_imports_only_what_it_may(graph: ImportGraph) -> None:
    table = MAY_IMPORT | {TESTS: tuple(MAY_IMPORT)}
    assert graph.packages <= set(table), "a package without a row in the table"
    assert forbidden_imports(graph, table) == []


def test_what_is_below_the_edge_takes_nothing_else_from_outside(graph: ImportGraph) -> None:
    assert foreign_imports(graph, MAY_INSTALL) == []


def test_the_table_itself_has_no_circle() -> None:
    edges = [(package, package_of(name)) for package, names in MAY_IMPORT.items() for name in names]
    assert find_cycle(edges) == []


def test_the_page_says_the_same_as_the_table(graph: ImportGraph) -> None:
    page = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
    rows = re.findall(r"^\| `([\w.]+)` \| .* \| (.*) \|$", page.split("\n## Packages\n")[1], re.MULTILINE)
    said = {package: set(re.findall(r"`([\w.]+)`", imports)) for package, imports in rows}
    here = graph.packages - {TESTS}
    assert said == {
        package: {name for name in names if package_of(name) in here}
        for package, names in MAY_IMPORT.items()
        if package in here
    }


# The checks themselves, on small graphs and on small trees in which something is wrong.


def test_a_cycle_is_told_in_the_direction_of_its_edges() -> None:
    cycle = find_cycle([("a", "b"), ("b", "c"), ("c", "a"), ("c", "d"), ("e", "a")])
    assert cycle in (["a", "b", "c", "a"], ["b", "c", "a", "b"], ["c", "a", "b", "c"])
    assert find_cycle([("a", "b"), ("b", "c"), ("a", "c")]) == []


def tree(root: Path, files: dict[str, str]) -> ImportGraph:
    """The graph of files that are written for it; each folder becomes a package."""
    for name, text in files.items():
        path = root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        (path.parent / "__init__.py").touch()
        path.write_text(text)
    return ImportGraph.read(root)


HIDING_PLACES = {
    "at the top": "from {target} import name\n",
    "as a whole module": "import {target}\n",
    "under another name": "import {target} as other\n",
    "under TYPE_CHECKING": "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    import {target}\n",
    "in a function": "def late():\n    from {target} import name\n",
    "in a method": "class Late:\n    async def run(self):\n        import {target}\n",
    "where an error is caught": "try:\n    import {target}\nexcept ImportError:\n    pass\n",
}


@pytest.mark.parametrize("text", HIDING_PLACES.values(), ids=HIDING_PLACES.keys())
def test_a_circle_is_found_wherever_its_import_stands(tmp_path: Path, text: str) -> None:
    files = {"low/a.py": text.format(target="high.b"), "high/b.py": "from low import a\n"}
    found = tree(tmp_path, files)
    assert found.package_cycle() in (["low", "high", "low"], ["high", "low", "high"])
    assert found.module_cycle() in (["low.a", "high.b", "low.a"], ["high.b", "low.a", "high.b"])


def test_a_circle_of_packages_is_found_where_no_modules_make_one(tmp_path: Path) -> None:
    files = {"low/a.py": "", "low/c.py": "import high.b\n", "high/b.py": "import low.a\n"}
    found = tree(tmp_path, files)
    assert found.module_cycle() == []
    assert set(found.package_cycle()) == {"low", "high"}


@pytest.mark.parametrize("text", ["from . import b\n", "from .b import name\n", "from ..one import b\n"])
def test_a_circle_of_relative_imports_is_found(tmp_path: Path, text: str) -> None:
    found = tree(
        tmp_path, {"one/a.py": text, "one/b.py": "from one.c import d\n", "one/c.py": "import one.a\n"}
    )
    assert found.package_cycle() == []
    assert set(found.module_cycle()) == {"one.a", "one.b", "one.c"}


def test_relative_imports_are_followed_from_inner_packages(tmp_path: Path) -> None:
    (tmp_path / "one").mkdir()
    (tmp_path / "one" / "__init__.py").write_text("from .inner import leaf\n")
    found = tree(tmp_path, {"one/inner/leaf.py": "from .. import top\n", "one/top.py": ""})
    assert [(edge.source, edge.target) for edge in found.imports] == [
        ("one", "one.inner.leaf"),
        ("one.inner.leaf", "one.top"),
    ]


def test_a_tree_without_circles_has_none_found(tmp_path: Path) -> None:
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
