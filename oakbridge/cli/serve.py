"""``oakbridge serve``: runs a node that a TOML file configures."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

import click

from oakbridge.__main__ import configure_logging
from oakbridge.__main__ import main as serve_platform
from oakbridge.cli.common import CommandFailedError, InvalidInputError
from oakbridge.cli.logs import JSON, configure_log_format, log_option
from oakbridge.config.errors import ConfigFileError
from oakbridge.config.load import LoadedConfig, load
from oakbridge.config.node_config import inline_endpoints
from oakbridge.config.schema import resolve_path
from oakbridge.control.handler import NodeControlHandler
from oakbridge.control.paths import default_socket_path, worker_socket_path
from oakbridge.control.server import ControlServer
from oakbridge.node.address import parse_address
from oakbridge.node.clock import Clock
from oakbridge.node.endpoint_source import EndpointSource
from oakbridge.node.errors import ConfigError, ConfigUnreadableError
from oakbridge.node.node import ListenOptions, Node
from oakbridge.node.run import serve
from oakbridge.node.startup import run_in_new_loop
from oakbridge.sources.file_source import FileOptions, FileSource
from oakbridge.sources.inline_source import InlineSource
from oakbridge.workers.errors import WorkerLimitsError
from oakbridge.workers.limits import worker_config

if TYPE_CHECKING:
    from oakbridge.peers.service import MembershipService
    from oakbridge.sites.runner import SitesRunner
    from oakbridge.spread.runner import SubsetRunner


@dataclass(frozen=True, slots=True)
class ServeOptions:
    """The command's options: the file, and overrides of its values for nodes that share a file."""

    path: Path
    name: str | None
    listen: tuple[str, ...]
    control: Path | None
    workers: int | None = None
    worker: int = 0  # number of this worker process, from 1; 0: not a worker process
    log_format: str = "text"
    member: tuple[str, str] | None = None  # name and address in the cluster; override the file's

    def load(self) -> LoadedConfig:
        """Return the configuration with the overrides; a worker gets its share of the limits.

        Raises ConfigFileError or ConfigError.
        """
        loaded = load(self.path)
        config, control_path = loaded.config, loaded.control_path
        if self.name is not None:
            config = replace(config, name=self.name)
            control_path = (
                default_socket_path(self.name)
                if loaded.file.control.socket is None
                else control_path
            )
        if self.listen:
            first, *others = map(parse_address, self.listen)
            config = replace(config, listen=first, also_listen=tuple(others))
        control_path = self.control or control_path
        workers = self.workers or loaded.file.node.workers
        if workers > 1 and loaded.file.sip is not None:
            raise ConfigError(
                f"{self.path}: sip: expected one worker, as datagrams can't be handed on"
            )
        try:
            worker_configs = (
                [worker_config(config, worker, workers) for worker in range(1, workers + 1)]
                if workers > 1
                else []
            )
        except WorkerLimitsError as error:
            raise ConfigError(f"{self.path}: {error}") from None
        if self.worker:
            config = worker_configs[self.worker - 1]
            control_path = (
                worker_socket_path(control_path, self.worker) if control_path is not None else None
            )
        member = self.member and (self.member[0], parse_address(self.member[1]))
        return replace(loaded, config=config, control_path=control_path, member_override=member)

    def worker_command(self, worker: int, workers: int, channel: int) -> list[str]:
        """Return the command line of a worker's process.

        ``worker``: its number, from 1.  ``workers``: how many there are.  ``channel``: the worker's
        file descriptor of its channel to the supervisor.
        """
        arguments = [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(self.path)]
        arguments += ["--name", self.name] if self.name is not None else []
        arguments += [argument for address in self.listen for argument in ("--listen", address)]
        arguments += ["--control", str(self.control)] if self.control is not None else []
        arguments += ["--log-format", self.log_format, "--workers", str(workers)]
        return [*arguments, "--worker", str(worker), "--channel", str(channel)]


FIRST_READ_TIMEOUT_S = 10.0  # for reading the server file before the node starts


def file_options(loaded: LoadedConfig) -> FileOptions | None:
    """Return the options for watching the server file or directory; None without either."""
    servers = loaded.file.servers
    path = servers.file or servers.directory
    if path is None:
        return None
    return FileOptions(
        resolve_path(path, loaded.path),
        is_directory=servers.directory is not None,
        settle_s=servers.settle / 1e6,
        poll_interval_s=servers.poll / 1e6,
        max_lost_fraction=servers.most_lost,
        saved_path=resolve_path(servers.saved, loaded.path) if servers.saved else None,
    )


def build_node(
    loaded: LoadedConfig, loop: asyncio.AbstractEventLoop, *, listens: bool = True
) -> Node:
    """Return the configured node with its endpoint source.

    ``listens``: False for a worker, which gets its connections from the supervisor.
    """
    options, entries = file_options(loaded), inline_endpoints(loaded.file)

    def create_source(clock: Clock) -> EndpointSource:
        return FileSource(options, clock.now) if options is not None else InlineSource(entries)

    return Node(
        loaded.config,
        loop,
        None if loaded.config.discovery else create_source,
        listening=ListenOptions(enabled=listens),
    )


async def build_ready_node(
    loaded: LoadedConfig, loop: asyncio.AbstractEventLoop, *, listens: bool = True
) -> Node:
    """Build the node, wait until its server file, if any, has been read, and return the node.

    Raises ConfigError if there is no valid endpoint list within FIRST_READ_TIMEOUT_S.
    """
    node = build_node(loaded, loop, listens=listens)
    if isinstance(node.source, FileSource):
        node.source.start()
        try:
            async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                await node.source.ready()
        except (TimeoutError, ConfigError) as error:
            node.close()
            raise ConfigError(
                str(error)
                or f"{node.source.options.path}: not read within {FIRST_READ_TIMEOUT_S:g} s"
            ) from None
    # Objects made at the start live as long as the process: exclude them from later collections.
    gc.collect()
    gc.freeze()
    return node


@asynccontextmanager
async def node_services(
    loaded: LoadedConfig, node: Node, channel: socket.socket | None
) -> AsyncIterator[None]:
    """Run the services that live as long as the node.

    ``channel``: a worker's socket to its supervisor; None if the node is no worker.
    """
    async with (
        _membership(loaded, node, is_member=channel is None) as membership,
        _sites(loaded, node, membership) as sites,
        _subsets(loaded, node, membership) as subsets,
        _control_server(loaded, node, membership, sites, subsets),
        _sip_front(loaded, node),
    ):
        if channel is None:
            yield
            return
        from oakbridge.workers.channel import WorkerChannel

        with WorkerChannel(channel).attached(node):
            yield


@asynccontextmanager
async def _membership(
    loaded: LoadedConfig, node: Node | None, *, is_member: bool = True
) -> AsyncIterator[MembershipService | None]:
    """Run the cluster membership, if the file configures one; for workers, only in the supervisor.

    ``node``: where load reports come from and failure reports go to; None for a supervisor.
    """
    if loaded.file.peers is None or not is_member:
        yield None
        return
    from oakbridge.config.peers import peers_options, seeds_file_options
    from oakbridge.peers.node_adapter import SeedFile, failure_report_sink, load_source
    from oakbridge.peers.service import MembershipService
    from oakbridge.peers.snapshot import SnapshotError

    try:
        options = peers_options(loaded)
        assert options is not None
        node_adapters = () if node is None else (load_source(node), failure_report_sink(node))
        membership = MembershipService(options, *node_adapters)
        await membership.start()
    except (ConfigFileError, SnapshotError) as error:
        raise ConfigError(str(error)) from None
    seeds_options = seeds_file_options(loaded)
    seeds = SeedFile(seeds_options, membership) if seeds_options is not None else None
    try:
        yield membership
    finally:
        if seeds is not None:
            seeds.stop()
        await membership.stop()


@asynccontextmanager
async def _sites(
    loaded: LoadedConfig, node: Node, membership: MembershipService | None
) -> AsyncIterator[SitesRunner | None]:
    """Run the plans for lost sites, if the file configures sites and the node is a member."""
    if loaded.file.sites is None or membership is None:
        yield None
        return
    from oakbridge.config.sites import node_sites
    from oakbridge.sites.runner import SitesRunner

    try:
        sites_state = node_sites(loaded)
    except ConfigFileError as error:
        raise ConfigError(str(error)) from None
    assert sites_state is not None
    async with SitesRunner(node, membership, sites_state) as runner:
        yield runner


@asynccontextmanager
async def _subsets(
    loaded: LoadedConfig, node: Node, membership: MembershipService | None
) -> AsyncIterator[SubsetRunner | None]:
    """Divide the servers among a tier's nodes, if the file says so and the node is a member."""
    if loaded.file.spread is None or membership is None:
        yield None
        return
    from oakbridge.spread.runner import SubsetRunner

    async with SubsetRunner(node, membership, loaded.file.spread.rings) as runner:
        yield runner


@asynccontextmanager
async def _sip_front(loaded: LoadedConfig, node: Node) -> AsyncIterator[None]:
    """Run the SIP front, if the file configures one; its modules are imported only then."""
    if loaded.file.sip is None:
        yield
        return
    from oakbridge.config.sip import sip_options, sip_settings
    from oakbridge.sip.front import Front

    async with Front(node, sip_settings(loaded.file), sip_options(loaded.file), loaded.config.seed):
        yield


async def supervise(options: ServeOptions, loaded: LoadedConfig, workers: int) -> int:
    """Run a supervisor with this number of workers; return its exit code."""
    from oakbridge.workers.supervisor import WorkerSupervisor

    config = loaded.config
    addresses = (config.listen, *config.also_listen)
    supervisor = WorkerSupervisor(
        config.name,
        addresses,
        workers,
        lambda worker, channel: options.worker_command(worker, workers, channel),
        loaded.control_path,
    )
    async with _membership(loaded, None) as membership:
        return await supervisor.run(membership)


@asynccontextmanager
async def _control_server(
    loaded: LoadedConfig,
    node: Node,
    membership: MembershipService | None,
    sites: SitesRunner | None,
    subsets: SubsetRunner | None,
) -> AsyncIterator[None]:
    """Serve the node's control socket, if it has one."""
    if loaded.control_path is None:
        yield
        return
    handler = NodeControlHandler(node, loaded.digest, peers=membership, sites=sites, spread=subsets)
    async with ControlServer(loaded.control_path, handler.handle):
        yield


def reload(options: ServeOptions, node: Node) -> None:
    """Reload the configuration, and poll the server file.

    Raises ConfigFileError or ConfigError, with all mistakes, and keeps the old configuration;
    ConfigUnreadableError if a transient error kept the file from being read.
    """
    try:
        loaded = options.load()
    except ConfigFileError as error:
        if error.is_transient:
            raise ConfigUnreadableError(str(error)) from None
        raise
    node.reload(loaded.config)
    node.source.fetch()


@click.command("serve")
@click.option(
    "--config", "path", type=click.Path(path_type=Path), help="The configuration, a TOML file."
)
@click.option("--name", default=None, help="The node's name, in place of the file's.")
@click.option(
    "--listen",
    multiple=True,
    help="Where callers connect, in place of the file's; may be given again.",
)
@click.option(
    "--control",
    "socket_path",
    type=click.Path(path_type=Path),
    help="The control socket's path, likewise.",
)
@click.option(
    "--workers",
    type=click.IntRange(1, 64),
    help="Processes on the port, in place of the file's node.workers.",
)
@click.option(
    "--member",
    nargs=2,
    default=None,
    metavar="NAME ADDRESS",
    help="Its name and address among members, in place of the file's: one file then serves many nodes.",
)
@click.option("--worker", default=0, hidden=True)
@click.option("--channel", type=int, hidden=True)
@log_option
def command(
    path: Path | None,
    name: str | None,
    listen: tuple[str, ...],
    socket_path: Path | None,
    workers: int | None,
    member: tuple[str, str] | None,
    worker: int,
    channel: int | None,
    log_format: str,
) -> None:
    """Run one node until SIGTERM; SIGHUP reads its configuration anew, SIGUSR1 restarts workers one by one.

    Without --config the platform's environment tells all (NODE_CONFIG and its kin).
    """
    if path is None:
        if not os.environ.get("NODE_CONFIG"):
            raise InvalidInputError(
                "serve: expected --config FILE (docs/getting-started.md has one to begin with)"
            )
        raise click.exceptions.Exit(serve_platform())
    options = ServeOptions(path, name, listen, socket_path, workers, worker, log_format, member)
    try:
        loaded = options.load()
    except (ConfigFileError, ConfigError) as error:
        raise InvalidInputError(str(error)) from None
    # Until the event loop handles SIGHUP, the signal must not kill the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    level = getattr(logging, loaded.file.log.level.upper())
    if log_format == JSON:
        configure_log_format(log_format, level, node=loaded.config.name)
    else:
        configure_logging(level)
    logging.getLogger("watchfiles").setLevel(logging.WARNING)
    worker_count = workers or loaded.file.node.workers
    try:
        if worker_count > 1 and not worker:
            raise click.exceptions.Exit(run_in_new_loop(supervise(options, loaded, worker_count)))
        supervisor_channel = None if channel is None else socket.socket(fileno=channel)
        run_in_new_loop(
            serve(
                lambda loop: build_ready_node(loaded, loop, listens=supervisor_channel is None),
                lambda node: reload(options, node),
                lambda node: node_services(loaded, node, supervisor_channel),
            )
        )
    except ConfigError as error:
        raise InvalidInputError(str(error)) from None
    except OSError as error:
        raise CommandFailedError(f"can't start: {error}") from None
