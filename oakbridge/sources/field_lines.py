"""Find the lines of fields in a TOML or JSON text, for error messages."""

from __future__ import annotations

import dataclasses
import json
from collections import Counter
from typing import TYPE_CHECKING

from oakbridge.sources.decoding import FileKind, SourceFile
from oakbridge.sources.problem import FieldPath, Problem

if TYPE_CHECKING:
    from tree_sitter import Node

FieldLines = dict[FieldPath, int]


def field_lines(data: bytes, kind: FileKind) -> FieldLines:
    """Return the line, from 1, of each field's start, as far as the text can be parsed."""
    # Imported here, as a node with a valid configuration never needs the parsers.
    from tree_sitter import Language, Parser

    if kind is FileKind.TOML:
        import tree_sitter_toml

        tree = Parser(Language(tree_sitter_toml.language())).parse(data)
        return _TomlWalker().walk(tree.root_node)
    import tree_sitter_json

    lines: FieldLines = {(): 1}
    tree = Parser(Language(tree_sitter_json.language())).parse(data)
    for child in tree.root_node.named_children:
        _walk_json(child, (), lines)
    return lines


def nearest_line(lines: FieldLines, path: FieldPath) -> int | None:
    """Return the line of a field, or else of the innermost enclosing field that has one."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path)


def with_lines(files: list[SourceFile], problems: list[Problem]) -> list[Problem]:
    """Return the problems with the lines of their fields, where they can be found."""
    files_by_name = {file.name: file for file in files}
    lines_by_name: dict[str, FieldLines] = {}
    located = []
    for problem in problems:
        file = files_by_name.get(problem.file)
        if file is None or problem.line is not None or not problem.path:
            located.append(problem)
            continue
        if file.name not in lines_by_name:
            lines_by_name[file.name] = field_lines(file.content(), file.kind)
        line = nearest_line(lines_by_name[file.name], problem.path)
        located.append(dataclasses.replace(problem, line=line))
    return located


def _line(node: Node) -> int:
    return int(node.start_point[0]) + 1


def _text(node: Node) -> str:
    return (node.text or b"").decode("utf-8", "replace")


def _walk_json(node: Node, path: FieldPath, lines: FieldLines) -> None:
    lines[path] = _line(node)
    if node.type == "object":
        for pair in node.named_children:
            if pair.type == "pair" and len(pair.named_children) >= 2:
                _walk_json_pair(pair, path, lines)
    elif node.type == "array":
        items = [child for child in node.named_children if child.type not in ("comment", "ERROR")]
        for index, item in enumerate(items):
            _walk_json(item, (*path, index), lines)


def _walk_json_pair(pair: Node, path: FieldPath, lines: FieldLines) -> None:
    key, value = pair.named_children[:2]
    try:
        name = str(json.loads(_text(key)))
    except ValueError:
        return
    _walk_json(value, (*path, name), lines)
    lines[*path, name] = _line(key)


class _TomlWalker:
    """Collects the lines of a TOML syntax tree, and numbers the tables of arrays in order."""

    def __init__(self) -> None:
        self._lines: FieldLines = {(): 1}
        self._table_counts: Counter[FieldPath] = Counter()

    def walk(self, root: Node) -> FieldLines:
        for node in root.named_children:
            if node.type == "pair":
                self._walk_pair(node, ())
            elif node.type in ("table", "table_array_element"):
                self._walk_table(node)
        return self._lines

    def _walk_table(self, node: Node) -> None:
        keys = self._keys(node.named_children[0]) if node.named_children else []
        if not keys:
            return
        path: FieldPath = ()
        for position, key in enumerate(keys):
            path = (*path, key)
            is_last = position == len(keys) - 1
            if is_last and node.type == "table_array_element":
                self._lines.setdefault(path, _line(node))
                self._table_counts[path] += 1
            if path in self._table_counts:
                path = (*path, self._table_counts[path] - 1)
            self._lines.setdefault(path, _line(node))
        for child in node.named_children[1:]:
            if child.type == "pair":
                self._walk_pair(child, path)

    def _keys(self, node: Node) -> list[str]:
        if node.type == "dotted_key":
            return [key for child in node.named_children for key in self._keys(child)]
        text = _text(node)
        return [text.strip("\"'")] if node.type == "quoted_key" else [text]

    def _walk_pair(self, node: Node, path: FieldPath) -> None:
        if len(node.named_children) < 2:
            return
        key, value = node.named_children[:2]
        for name in self._keys(key):
            path = (*path, name)
            self._lines.setdefault(path, _line(key))
        self._walk_value(value, path)

    def _walk_value(self, node: Node, path: FieldPath) -> None:
        if node.type == "inline_table":
            for child in node.named_children:
                if child.type == "pair":
                    self._walk_pair(child, path)
        elif node.type == "array":
            items = [child for child in node.named_children if child.type != "comment"]
            for index, item in enumerate(items):
                self._lines.setdefault((*path, index), _line(item))
                self._walk_value(item, (*path, index))
