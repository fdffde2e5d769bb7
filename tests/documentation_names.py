"""Finds names on documentation pages that don't exist: files, modules, definitions, keys and commands.

Names are the texts in backticks and the commands in indented code blocks.
"""

from __future__ import annotations

import ast
import importlib
import importlib.util
import os
import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from functools import cached_property
from pathlib import Path

import click

from hollybay.cli.main import main as command_line

CODE_FOLDERS = ("hollybay", "benchmarks", "tests")
# Folders whose TOML files contain keys that operators write.
KEY_FOLDERS = ("deploy", "experiments")
# Modules that define such keys, as strings or as fields.
KEY_MODULES = ("hollybay.routing.schema", "hollybay.balancing.settings_parser", "hollybay.proxy.config")
# The output of a node with all of its metrics.
METRICS = "tests/golden/metrics.txt"
SUFFIXES = {".py", ".md", ".toml", ".txt", ".json", ".png", ".http", ".yml"}
# Folders that are not part of the tree: environments, caches and output of tools.
EXCLUDED = re.compile(r"\.(?!ci$)|__pycache__$|.*\.egg-info$")

_FENCED = re.compile(r"^( *)```.*?^\1```", re.DOTALL | re.MULTILINE)
_SPAN = re.compile(r"`([^`]+)`")
_COMMAND_LINE = re.compile(r"^ {4}((?:hollybay|make|python -m) .*)$", re.MULTILINE)
_IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
_DOTTED = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)+")
_PATH = re.compile(r"[\w.*-]+(?:/[\w.*-]+)*/?")
_OPTION = re.compile(r"--[a-z][a-z-]*")


def names_on(page: str) -> Iterator[str]:
    """Yield the texts in backticks of a page, and the commands in its indented blocks."""
    prose = _FENCED.sub("", page)
    for match in _COMMAND_LINE.finditer(prose):
        yield match[1].partition("#")[0].strip()
    for match in _SPAN.finditer(prose):
        yield " ".join(match[1].split())


@dataclass
class Module:
    """The names that a module defines: at module level, by class, and anywhere; and its string constants."""

    top: set[str] = field(default_factory=set)
    classes: dict[str, set[str]] = field(default_factory=dict)
    bases: dict[str, set[str]] = field(default_factory=dict)
    all: set[str] = field(default_factory=set)
    texts: set[str] = field(default_factory=set)


def _targets(node: ast.AST) -> Iterator[str]:
    """Yield the names that a syntax node defines or binds."""
    match node:
        case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name) | ast.ClassDef(name=name):
            yield name
        case ast.arg(arg=name):
            yield name
        case ast.Name(id=name, ctx=ast.Store()):
            yield name
        case ast.Attribute(attr=name, ctx=ast.Store()):
            yield name
        case _:
            return


def _base_name(node: ast.expr) -> str:
    """Return the last part of a base class's name."""
    while isinstance(node, ast.Subscript):
        node = node.value
    return node.attr if isinstance(node, ast.Attribute) else getattr(node, "id", "")


def read_module(source: str) -> Module:
    """Collect the names of a module."""
    module = Module()
    tree = ast.parse(source)
    for node in ast.walk(tree):
        module.all.update(_targets(node))
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            module.texts.add(node.value)
        if isinstance(node, ast.ClassDef):
            members = module.classes.setdefault(node.name, set())
            members.update(name for inner in ast.walk(node) if inner is not node for name in _targets(inner))
            module.bases.setdefault(node.name, set()).update(map(_base_name, node.bases))
    for node in tree.body:
        for inner in ast.walk(node) if not isinstance(node, ast.ClassDef | ast.FunctionDef) else [node]:
            module.top.update(_targets(inner))
            if isinstance(inner, ast.ImportFrom):
                module.top.update(alias.asname or alias.name for alias in inner.names)
    return module


class Tree:
    """The names of a source tree that pages may use."""

    def __init__(self, root: Path) -> None:
        self.root = root

    @cached_property
    def paths(self) -> list[str]:
        """Files and folders as paths relative to the root, with a leading slash."""
        found = []
        for folder, folders, files in os.walk(self.root):
            folders[:] = [name for name in folders if not EXCLUDED.match(name)]
            base = Path(folder).relative_to(self.root)
            found += [f"/{base / name}" for name in (*folders, *files)]
        return found

    @cached_property
    def modules(self) -> dict[str, Module]:
        """The modules of the code, by their dotted names."""
        found = {}
        for folder in CODE_FOLDERS:
            for path in sorted((self.root / folder).rglob("*.py")):
                parts = path.relative_to(self.root).with_suffix("").parts
                dotted = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
                found[dotted] = read_module(path.read_text())
        return found

    @cached_property
    def definitions(self) -> set[str]:
        """The names that modules define, and the parts of the modules' own names."""
        names = set().union(*(module.all for module in self.modules.values()))
        return names | {part for dotted in self.modules for part in dotted.split(".")}

    @cached_property
    def published(self) -> set[str]:
        """String constants of hollybay, metrics and keys: settings, fields, environment variables."""
        names: set[str] = set()
        for dotted, module in self.modules.items():
            if dotted.startswith("hollybay"):
                names |= module.texts
        names.update(re.findall(r"^\w+", (self.root / METRICS).read_text(), re.MULTILINE))
        return names | self.keys

    @cached_property
    def keys(self) -> set[str]:
        """Keys of operator files, plans and the node's configuration."""
        keys: set[str] = set()
        for folder in KEY_FOLDERS:
            for path in (self.root / folder).rglob("*.toml"):
                keys.update(_keys(tomllib.loads(path.read_text())))
        for module in KEY_MODULES:
            keys |= self.modules[module].all
            keys.update(part for text in self.modules[module].texts for part in text.split("."))
        return keys

    @cached_property
    def make_targets(self) -> set[str]:
        """The targets of the Makefile."""
        return set(re.findall(r"^([a-z]+):", (self.root / "Makefile").read_text(), re.MULTILINE))

    @cached_property
    def options(self) -> set[str]:
        """The options of all commands, of `hollybay` and of the benchmarks."""
        texts = set().union(*(module.texts for module in self.modules.values()))
        return {option for text in texts for option in text.split("/") if _OPTION.fullmatch(option)}

    # Look-ups

    def has_path(self, path: str) -> bool:
        """Return whether some path equals this one or ends with it; `*` matches any text."""
        tail = f"*/{path.strip('/')}"
        return any(fnmatchcase(known, tail) for known in self.paths)

    def has_identifier(self, name: str) -> bool:
        """Return whether a name is defined, published, at the root of the tree, or in a library."""
        if name in self.definitions or name in self.published:
            return True
        return (self.root / name).exists() or _is_in_library(name)

    def has_dotted(self, dotted: str) -> bool:
        """Return whether this is a module, a name in one, a member of a class, or a published key."""
        head, _, last = dotted.rpartition(".")
        if self._modules_named(dotted) or dotted in self.published or _is_in_library(dotted):
            return True
        if all(part in self.keys for part in dotted.split(".")):
            return True
        if any(last in module.top for module in self._modules_named(head)):
            return True
        class_name = head.rpartition(".")[2]
        if any(class_name in module.classes for module in self.modules.values()):
            return last in self._members(class_name, set())
        return False

    def _modules_named(self, dotted: str) -> list[Module]:
        """Return the modules whose dotted name equals this one or ends with it."""
        tail = f".{dotted}"
        return [module for name, module in self.modules.items() if f".{name}".endswith(tail)]

    def _members(self, class_name: str, seen: set[str]) -> set[str]:
        """Return the members of a class and of its bases."""
        if class_name in seen:
            return set()
        seen.add(class_name)
        members: set[str] = set()
        for module in self.modules.values():
            members |= module.classes.get(class_name, set())
            for base in module.bases.get(class_name, ()):
                members |= self._members(base, seen)
        return members

    def command_fault(self, text: str) -> str | None:
        """Return why a command on a page is invalid; None if it is valid or the text is no command."""
        alternatives = text.split(" | ")
        if len(alternatives) > 1:  # each alternative replaces the last word of the first one
            first = alternatives[0].split()
            calls = [alternatives[0], *(" ".join([*first[:-1], other]) for other in alternatives[1:])]
            return next((fault for call in calls if (fault := self.command_fault(call))), None)
        words = text.split()
        if words[0] == "hollybay":
            return self._command_line_fault(words[1:])
        if words[0] == "make":
            return next((f"no target {word}" for word in words[1:] if word not in self.make_targets), None)
        if words[:2] == ["python", "-m"] and len(words) > 2:
            module = words[2]
            known = module in self.modules or f"{module}.__main__" in self.modules
            if not known:
                return f"no module {module}"
            return self._options_fault(words[3:], self.options)
        return None

    def _command_line_fault(self, words: list[str]) -> str | None:
        command: click.Command = command_line
        while words and isinstance(command, click.Group):
            found = command.commands.get(words[0])
            if found is None:
                return f"no command {words[0]}"
            command, words = found, words[1:]
        known = {option for parameter in command.params for option in parameter.opts}
        return self._options_fault(words, known | {"--help"})

    def _options_fault(self, words: list[str], known: set[str]) -> str | None:
        wrong = [word for word in words if _OPTION.fullmatch(word) and word not in known]
        return f"no option {wrong[0]}" if wrong else None

    def fault(self, text: str) -> str | None:
        """Return why a text in backticks is an unknown name; None: it is known, or is not a name."""
        if " " in text:
            return self.command_fault(text)
        name = re.sub(r"\(.*\)$|\{.*\}$", "", text)
        if _OPTION.fullmatch(name):
            return None if name in self.options else "no such option"
        if self._looks_like_path(name):
            return None if self.has_path(name) else "no such file or folder"
        if _DOTTED.fullmatch(name):
            return None if self.has_dotted(name) else "no such module, member or key"
        if _IDENTIFIER.fullmatch(name) and (name.lower() != name or "_" in name):
            return None if self.has_identifier(name) else "no such definition, key or metric"
        return None

    def _looks_like_path(self, name: str) -> bool:
        """Return whether a text ends like a file or folder, or begins with a folder at the root."""
        if not _PATH.fullmatch(name):
            return False
        if Path(name).suffix in SUFFIXES or name.endswith("/"):
            return True
        first, slash, _ = name.partition("/")
        return bool(slash) and (self.root / first).is_dir()


def _is_in_library(dotted: str) -> bool:
    """Return whether this is a module of the standard library or of a package, or a name in one."""
    root, *names = dotted.split(".")
    if root.startswith("_") or root in CODE_FOLDERS or importlib.util.find_spec(root) is None:
        return False
    value: object = importlib.import_module(root)
    for name in names:
        if not hasattr(value, name):
            return False
        value = getattr(value, name)
    return True


def _keys(table: object) -> Iterator[str]:
    """Yield all keys of a TOML table and of the tables in it."""
    if isinstance(table, dict):
        for key, value in table.items():
            yield key
            yield from _keys(value)
    elif isinstance(table, list):
        for value in table:
            yield from _keys(value)
