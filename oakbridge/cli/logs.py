"""Logs of the long-running commands: lines for people, or one JSON object a line for programs."""

from __future__ import annotations

import logging
import sys
from typing import Any

import click

TEXT, JSON = "text", "json"


def log_option(function: Any) -> Any:
    """``--log-format``."""
    return click.option(
        "--log-format",
        default=TEXT,
        type=click.Choice([TEXT, JSON]),
        help="Lines for people, or JSON for programs.",
    )(function)


def start_logs(form: str, level: int = logging.INFO, **always: str) -> None:
    """Log to stderr; ``always`` are fields that each JSON line carries, as the node's name."""
    handler = logging.StreamHandler(sys.stderr)
    if form == JSON:
        handler.setFormatter(_json(always))
    else:
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.raiseExceptions = False  # a line that can't be written is lost, and nothing else


def _json(always: dict[str, str]) -> logging.Formatter:
    import structlog  # what a command that logs text does not use it does not load

    def named(_: Any, __: str, event: Any) -> Any:
        return {**always, **event}

    shared: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        named,
    ]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
    )
