"""``oakbridge agent``: runs the nodes of one host, and answers the fleet's operators."""

from __future__ import annotations

import asyncio
import logging
import signal
import ssl
from functools import partial
from pathlib import Path

import click

from oakbridge.agent.agent import Agent
from oakbridge.agent.config import AgentConfig, read_agent_config
from oakbridge.agent.errors import AgentConfigError, StoreError
from oakbridge.agent.operator_api import OperatorApi
from oakbridge.agent.startup import retry_while_unavailable
from oakbridge.agent.store import Store
from oakbridge.cli.common import CommandFailedError, InvalidInputError
from oakbridge.cli.logs import configure_log_format, log_option
from oakbridge.fleet.errors import PkiError
from oakbridge.fleet.pki import tls_context
from oakbridge.fleet.server import AgentServer
from oakbridge.node.startup import retry_resource_errors_async, run_in_new_loop

log = logging.getLogger(__name__)


async def run(config: AgentConfig, store: Store, tls: ssl.SSLContext) -> None:
    """Run the agent until SIGTERM or SIGINT; its nodes keep running afterwards."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    agent = Agent(store, config.name, config.fleet, config.zone)
    server = AgentServer(tls, config.fleet, OperatorApi(agent).handle)
    for instance in config.instances:
        control = config.state / f"{instance.name}.sock"
        retry_while_unavailable(
            partial(agent.add_instance, instance.name, instance.listen, control, instance.member)
        )
    await retry_resource_errors_async(lambda: server.start(config.listen), "listening")
    try:
        agent.start()
        log.info("agent listening: name=%s address=%s:%d", config.name, *server.address)
        await stop.wait()
    finally:
        server.close()
        agent.stop()


@click.command("agent")
@click.option(
    "--config",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="The agent's file, agent.toml.",
)
@log_option
def command(path: Path, log_format: str) -> None:
    """Run the nodes of this host, and answer the fleet's operators; nodes outlive their agent."""
    try:
        config = retry_while_unavailable(lambda: read_agent_config(path))
        configure_log_format(log_format, agent=config.name)
        tls = tls_context(config.authority, config.certificate, server=True)
        store = retry_while_unavailable(lambda: Store(config.state))
        run_in_new_loop(run(config, store, tls))
    except (AgentConfigError, StoreError, PkiError) as error:
        raise InvalidInputError(str(error)) from None
    except OSError as error:
        raise CommandFailedError(f"can't start: {error}") from None
