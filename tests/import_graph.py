"""The import graph of a source tree, read from syntax trees without importing any module."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

__all__ = ["NAMESPACE", "Import", "ImportGraph", "find_cycle", "package_of"]

NAMESPACE = "hollybay"  # the top-level package of the project


@dataclass(frozen=True, slots=True, order=True)
class Import:
    """An edge of the import graph. target: a module of the tree, or the full name of an external one."""

    source: str
    target: str
    line: int

    def __str__(self) -> str:
        return f"{self.source}:{self.line} imports {self.target}"


@dataclass(frozen=True, slots=True)
class ImportGraph:
    """The modules of all packages under a root, and all of their imports.

    Imports count wherever they appear: at module level, under TYPE_CHECKING, in functions and branches.
    """

    modules: Mapping[str, Path]
    imports: tuple[Import, ...]

    @classmethod
    def read(cls, root: Path) -> ImportGraph:
        """Read the packages in the folder `root`; raise SyntaxError for a file that is not valid Python."""
        modules = {_module_name(path, root): path for path in _source_files(root)}
        found = {edge for name, path in modules.items() for edge in _imports_of(name, path, modules)}
        return cls(modules, tuple(sorted(found)))

    @property
    def packages(self) -> frozenset[str]:
        """The names of the top-level packages and of the subpackages of NAMESPACE."""
        return frozenset(package_of(module) for module in self.modules)

    def between_packages(self) -> list[Import]:
        """Return the imports from one package of the tree into another."""
        return [
            edge
            for edge in self.imports
            if package_of(edge.target) in self.packages and package_of(edge.target) != package_of(edge.source)
        ]

    def from_outside(self) -> list[Import]:
        """Return the imports of modules outside of the tree: the standard library and installed packages."""
        return [edge for edge in self.imports if package_of(edge.target) not in self.packages]

    def module_cycle(self) -> list[str]:
        """Return an import cycle of modules, with the first repeated at the end; empty if there is none."""
        return find_cycle((edge.source, edge.target) for edge in self.imports)

    def package_cycle(self) -> list[str]:
        """Return an import cycle of packages, through any of their modules; empty if there is none."""
        edges = self.between_packages()
        return find_cycle((package_of(edge.source), package_of(edge.target)) for edge in edges)


def find_cycle(edges: Iterable[tuple[str, str]]) -> list[str]:
    """Return the nodes of a cycle in edge order, the first one again at the end; empty if there is none."""
    graph: dict[str, set[str]] = {}
    for source, target in edges:
        graph.setdefault(source, set()).add(target)
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        # TopologicalSorter takes the targets for predecessors, so it reports the cycle against the edges.
        cycle: list[str] = error.args[1]
        return cycle[::-1]
    return []


def _source_files(root: Path) -> Iterator[Path]:
    for package in sorted(root.glob("*/__init__.py")):
        yield from sorted(package.parent.rglob("*.py"))


def _module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def package_of(module: str) -> str:
    """Return the package of a module; each subpackage of NAMESPACE counts as a package."""
    parts = module.split(".")
    return ".".join(parts[:2]) if parts[0] == NAMESPACE else parts[0]


def _imports_of(name: str, path: Path, modules: Mapping[str, Path]) -> Iterator[Import]:
    for node in ast.walk(ast.parse(path.read_text(), str(path))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield Import(name, alias.name, node.lineno)
        elif isinstance(node, ast.ImportFrom):
            base = _base_of(node, name, path)
            for alias in node.names:
                submodule = f"{base}.{alias.name}"
                yield Import(name, submodule if submodule in modules else base, node.lineno)


def _base_of(node: ast.ImportFrom, name: str, path: Path) -> str:
    """Return the absolute name of the module after `from`."""
    if not node.level:
        assert node.module is not None
        return node.module
    # One dot means the package that contains the module; in a package's __init__, the package itself.
    levels_up = node.level - 1 if path.name == "__init__.py" else node.level
    parents = name.split(".")[: len(name.split(".")) - levels_up]
    return ".".join([*parents, node.module] if node.module else parents)
