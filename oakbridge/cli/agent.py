"""``oakbridge agent``: runs the nodes of one host, and answers the fleet's operators."""

from __future__ import annotations

import asyncio
import logging
import signal
import ssl
from pathlib import Path

import click

from oakbridge.agent.file import AgentFile, BadAgentFile, read
from oakbridge.agent.runner import Agent
from oakbridge.agent.store import Store, StoreError
from oakbridge.cli.common import BadInput, Failed
from oakbridge.cli.logs import log_option, start_logs
from oakbridge.fleet.errors import PkiError
from oakbridge.fleet.pki import tls_context
from oakbridge.fleet.server import AgentServer

log = logging.getLogger(__name__)


async def run(given: AgentFile, store: Store, tls: ssl.SSLContext) -> None:
    """Run until SIGTERM; the nodes run on."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    agent = Agent(store, given.name, given.fleet, given.zone)
    server = AgentServer(tls, given.fleet, agent.answer)
    for name, listen in given.instances.items():
        agent.add(name, listen, given.state / f"{name}.sock", given.members.get(name, ""))
    await server.start(given.listen)
    try:
        agent.begin()
        log.info("agent %s listens on %s:%d", given.name, *server.address)
        await stop.wait()
    finally:
        server.close()
        agent.end()


@click.command("agent")
@click.option(
    "--config", "path", required=True, type=click.Path(path_type=Path), help="The agent's file, agent.toml."
)
@log_option
def command(path: Path, log_format: str) -> None:
    """Run the nodes of this host, and answer the fleet's operators; nodes outlive their agent."""
    try:
        given = read(path)
        start_logs(log_format, agent=given.name)
        tls = tls_context(given.authority, given.certificate, server=True)
        asyncio.run(run(given, Store(given.state), tls))
    except (BadAgentFile, StoreError, PkiError) as e:
        raise BadInput(str(e)) from None
    except OSError as e:
        raise Failed(f"can't start: {e}") from None
