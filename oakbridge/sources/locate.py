"""Where a field stands in a TOML or JSON text: the line, for messages.  Used only once there is a mistake."""

from __future__ import annotations

import dataclasses
import json
from collections import Counter
from typing import TYPE_CHECKING

from oakbridge.sources.formats import BOM, File, Path, Problem, split_checksum

if TYPE_CHECKING:
    from tree_sitter import Node

Lines = dict[Path, int]


def lines_of(data: bytes, kind: str) -> Lines:
    """The line, from 1, on which each field begins; ``kind`` is toml or json.  Reads as far as it can."""
    from tree_sitter import Language, Parser

    if kind == "toml":
        import tree_sitter_toml

        tree = Parser(Language(tree_sitter_toml.language())).parse(data)
        return _Toml().document(tree.root_node)
    import tree_sitter_json

    found: Lines = {(): 1}
    tree = Parser(Language(tree_sitter_json.language())).parse(data)
    for child in tree.root_node.named_children:
        _json(child, (), found)
    return found


def nearest(lines: Lines, path: Path) -> int | None:
    """The line of a field, or of what it should be a part of."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path)


def located(files: list[File], problems: list[Problem]) -> list[Problem]:
    """The mistakes with their lines."""
    by_name = {f.name: f for f in files}
    known: dict[str, Lines] = {}
    found = []
    for problem in problems:
        file = by_name.get(problem.file)
        if problem.line is None and problem.path and file is not None:
            if file.name not in known:
                kind = "toml" if file.name.endswith(".toml") else "json"
                known[file.name] = lines_of(split_checksum(file.data.removeprefix(BOM))[0], kind)
            problem = dataclasses.replace(problem, line=nearest(known[file.name], problem.path))
        found.append(problem)
    return found


def _row(node: Node) -> int:
    return int(node.start_point[0]) + 1


def _text(node: Node) -> str:
    return (node.text or b"").decode("utf-8", "replace")


def _json(node: Node, path: Path, found: Lines) -> None:
    found[path] = _row(node)
    if node.type == "object":
        for pair in node.named_children:
            if pair.type == "pair" and len(pair.named_children) >= 2:
                key, value = pair.named_children[:2]
                try:
                    name = str(json.loads(_text(key)))
                except ValueError:
                    continue
                _json(value, (*path, name), found)
                found[*path, name] = _row(key)
    elif node.type == "array":
        items = [c for c in node.named_children if c.type not in ("comment", "ERROR")]
        for i, item in enumerate(items):
            _json(item, (*path, i), found)


class _Toml:
    """Walks a TOML tree; arrays of tables are counted as they come."""

    def __init__(self) -> None:
        self.found: Lines = {(): 1}
        self.arrays: Counter[Path] = Counter()

    def document(self, root: Node) -> Lines:
        for node in root.named_children:
            if node.type == "pair":
                self.pair(node, ())
            elif node.type in ("table", "table_array_element"):
                self.table(node)
        return self.found

    def table(self, node: Node) -> None:
        keys = self.keys(node.named_children[0]) if node.named_children else []
        if not keys:
            return
        path: Path = ()
        for place, key in enumerate(keys):
            path = (*path, key)
            last = place == len(keys) - 1
            if last and node.type == "table_array_element":
                self.found.setdefault(path, _row(node))
                self.arrays[path] += 1
            if path in self.arrays:
                path = (*path, self.arrays[path] - 1)
            self.found.setdefault(path, _row(node))
        for child in node.named_children[1:]:
            if child.type == "pair":
                self.pair(child, path)

    def keys(self, node: Node) -> list[str]:
        if node.type == "dotted_key":
            return [key for child in node.named_children for key in self.keys(child)]
        text = _text(node)
        return [text.strip("\"'")] if node.type == "quoted_key" else [text]

    def pair(self, node: Node, path: Path) -> None:
        if len(node.named_children) < 2:
            return
        key, value = node.named_children[:2]
        for name in self.keys(key):
            path = (*path, name)
            self.found.setdefault(path, _row(key))
        self.value(value, path)

    def value(self, node: Node, path: Path) -> None:
        if node.type == "inline_table":
            for child in node.named_children:
                if child.type == "pair":
                    self.pair(child, path)
        elif node.type == "array":
            items = [c for c in node.named_children if c.type != "comment"]
            for i, item in enumerate(items):
                self.found.setdefault((*path, i), _row(item))
                self.value(item, (*path, i))
