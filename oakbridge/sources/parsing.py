"""Parse the files of one version: all their servers, or all their problems.  No I/O."""

from __future__ import annotations

from collections.abc import Callable

from oakbridge.node.address import Address
from oakbridge.policy.events import EndpointState
from oakbridge.sources.decoding import SourceFile, decode
from oakbridge.sources.errors import DecodeError
from oakbridge.sources.formats import read_rows
from oakbridge.sources.pacing import BATCH_SIZE, no_pause
from oakbridge.sources.problem import Problem
from oakbridge.sources.server_row import MAX_PROBLEMS, ParsedServers, ServerRowReader

MAX_SERVERS = 100_000


def parse(files: list[SourceFile], pause: Callable[[], None] = no_pause) -> ParsedServers:
    """Return the servers of all files, or the problems.

    Names and addresses must be unique over all files.  ``pause`` is called between batches of
    servers, so that parsing in a thread does not delay an event loop.
    """
    parsed = ParsedServers()
    for file in files:
        pause()
        _parse_file(file, parsed, pause)
    last_file = files[-1].name if files else ""
    _check_addresses(parsed, last_file)
    if len(parsed.servers) > MAX_SERVERS:
        parsed.problems.append(Problem(last_file, (), f"expected at most {MAX_SERVERS} servers"))
    any_ready = any(entry.server.state == EndpointState.UP for entry in parsed.servers.values())
    if not parsed.problems and not any_ready:
        parsed.problems.append(Problem(last_file, (), "expected at least one server that is ready"))
    if parsed.problems:
        parsed.servers = {}
    return parsed


def _parse_file(file: SourceFile, parsed: ParsedServers, pause: Callable[[], None]) -> None:
    try:
        raw = decode(file)
    except DecodeError as error:
        parsed.problems.append(Problem(file.name, (), error.expected, error.line))
        return
    pause()
    problems_before = len(parsed.problems)
    for count, _ in enumerate(read_rows(raw, ServerRowReader(file.name, parsed))):
        if count % BATCH_SIZE == 0:
            pause()
        too_many_problems = len(parsed.problems) - problems_before >= MAX_PROBLEMS
        if too_many_problems or len(parsed.servers) > MAX_SERVERS:
            break


def _check_addresses(parsed: ParsedServers, file: str) -> None:
    """Reject two names with the same address: that server would get the requests of two."""
    by_address: dict[Address, str] = {}
    for name, entry in parsed.servers.items():
        first_name = by_address.setdefault(entry.address, name)
        if first_name != name and entry.address[1]:
            expected = f"expected an address of its own, got {entry.server.address}"
            parsed.add_problem(file, (), f"{name}: {expected}, which {first_name} has")
