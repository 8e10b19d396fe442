"""The agent: the instances of one host, and the lease on changing them."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from pathlib import Path

from oakbridge.agent.clock import monotonic_us
from oakbridge.agent.generations import Files, check_name
from oakbridge.agent.host import Host
from oakbridge.agent.lease import Lease
from oakbridge.agent.local_host import LocalHost
from oakbridge.agent.managed_instance import (
    CONFIG_FILE,
    POLL_INTERVAL_S,
    InstanceContext,
    ManagedInstance,
)
from oakbridge.agent.records import InstanceRecord, InstanceSpec
from oakbridge.agent.startup import retry_while_unavailable
from oakbridge.agent.store import CHECK_FOLDER_PREFIX, Store

MAX_CONCURRENT_CHECKS = 2  # each check of a configuration is a process


class Agent:
    """Manages the instances of one host; ``operator_api`` serves the requests of operators."""

    def __init__(
        self,
        store: Store,
        name: str,
        fleet: str,
        zone: str = "",
        host: Host | None = None,
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        """Load the lease's record from the journal; ``host`` is the local machine by default.

        Raises:
            StoreError: if the record is invalid, or the disk fails until the retry timeout.
        """
        self.store = store
        self.name = name
        self.fleet = fleet
        self.zone = zone
        self.host: Host = host or LocalHost()
        token_record = retry_while_unavailable(store.journal.load_token_record)
        self.lease = Lease(token_record, monotonic_us())
        self.instances: dict[str, ManagedInstance] = {}
        self._poll_interval_s = poll_interval_s
        self._checks = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)

    def start(self) -> None:
        """Start managing all instances in the journal.

        Raises:
            StoreError: if the journal is invalid, or the disk fails until the retry timeout.
        """
        for name in retry_while_unavailable(self.store.journal.load_instances):
            self.start_instance(name)

    def stop(self) -> None:
        """Stop managing the instances, leave their nodes running, and close the store."""
        for instance in self.instances.values():
            instance.stop()
        self.store.close()

    def add_instance(self, name: str, listen: list[str], control: Path, member: str = "") -> None:
        """Add an instance to the journal, unless it has one of this name.

        The instance's node is not started until a step gives the instance a generation.
        ``listen`` has the addresses that the node listens on, ``control`` its control socket.
        ``member`` is the node's address among members, or "" if it is not a member; its name among
        them is ``AGENT/INSTANCE``.

        Raises:
            StoreError: if the name is invalid.
            StoreUnavailableError: if the disk fails.
        """
        journal = self.store.journal
        if name in journal.load_instances():
            return
        spec = InstanceSpec(tuple(listen), control, member)
        journal.save_instance(check_name(name, "instance"), spec, InstanceRecord())

    def start_instance(self, name: str) -> None:
        """Start managing an instance that is in the journal."""
        spec, record = retry_while_unavailable(self.store.journal.load_instances)[name]
        context = InstanceContext(self.name, self.store, self.host, self._poll_interval_s)
        instance = ManagedInstance(name, spec, record, context)
        instance.start()
        self.instances[name] = instance

    def lease_problem(self, token: int, holder: str) -> str:
        """Return why a step with this token may not continue; "" if it may."""
        denied = self.lease.check(monotonic_us(), token, holder)
        return "" if denied is None else denied.reason

    def save_token_record(self) -> None:
        """Write the lease's record to disk.  Raises StoreUnavailableError if the disk fails."""
        self.store.journal.save_token_record(self.lease.record)

    async def check_config(self, files: Files) -> str:
        """Return the problem that the node's own checker finds in the files; "" if there is none.

        Raises OSError if the files can't be written or the checker can't be started.
        """
        async with self._checks:
            folder = Path(tempfile.mkdtemp(prefix=CHECK_FOLDER_PREFIX, dir=self.store.folder))
            try:
                for name, text in files.items():
                    (folder / name).write_text(text, "utf-8")
                problem = await self.host.check_config(folder / CONFIG_FILE)
                return problem.replace(f"{folder}/", "")
            finally:
                shutil.rmtree(folder, ignore_errors=True)
