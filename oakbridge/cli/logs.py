"""Logs of the long-running commands: text for people, or one JSON object per line for programs."""

from __future__ import annotations

import logging
import sys
from typing import Any

import click

TEXT, JSON = "text", "json"


def log_option(function: Any) -> Any:
    """Add the option ``--log-format``."""
    return click.option(
        "--log-format",
        default=TEXT,
        type=click.Choice([TEXT, JSON]),
        help="Lines for people, or JSON for programs.",
    )(function)


def configure_log_format(
    log_format: str, level: int = logging.INFO, **constant_fields: str
) -> None:
    """Log to stderr.  ``constant_fields`` are added to each JSON line, such as the node's name."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == JSON:
        handler.setFormatter(_json_formatter(constant_fields))
    else:
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.raiseExceptions = False  # an error in writing a log line must not print a traceback


def _json_formatter(constant_fields: dict[str, str]) -> logging.Formatter:
    import structlog  # imported here: text logs don't use it

    def add_constant_fields(_: Any, __: str, event: Any) -> Any:
        return {**constant_fields, **event}

    shared_processors: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        add_constant_fields,
    ]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared_processors,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
    )
