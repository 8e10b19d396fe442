"""Starts and stops the faults that ``fault_shim.c`` injects into a process under test."""

from __future__ import annotations

import errno
import hashlib
import mmap
import os
import struct
import subprocess
import tempfile
from enum import IntEnum
from pathlib import Path

SHIM_SOURCE = Path(__file__).with_name("fault_shim.c")
# ``struct fault`` of the shim: error, percent, injected, reserved.
FAULT_FORMAT = struct.Struct("iiII")
FAULT_KINDS = 16  # KINDS of the shim
CLOCK_OFFSET = FAULT_KINDS * FAULT_FORMAT.size
CONTROL_BYTES = CLOCK_OFFSET + 8
NS_PER_S = 1_000_000_000


class Fault(IntEnum):
    """A kind of system call that can be made to fail, with its number in the shim's fault_kind."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECEIVE = 4
    WAIT = 5
    SHORT_SEND = 6
    SHORT_RECEIVE = 7
    DISK_WRITE = 8
    DISK_SYNC = 9
    DISK_METADATA = 10
    LISTEN = 11
    SEND_TRANSIENT = 12  # on all connections; errors after which a connection goes on
    RECEIVE_TRANSIENT = 13
    EPOLL_CONTROL = 14  # any change of the events that an event loop waits for


DISK_FAULTS = (Fault.DISK_WRITE, Fault.DISK_SYNC, Fault.DISK_METADATA)


def build_shim() -> Path:
    """Compile the shim once per content of its source, and return the library's path.

    Raises subprocess.CalledProcessError if the compiler fails.
    """
    digest = hashlib.sha256(SHIM_SOURCE.read_bytes()).hexdigest()[:16]
    library = Path(tempfile.gettempdir()) / f"oakbridge-fault-shim-{os.getuid()}-{digest}.so"
    if not library.exists():
        unfinished = library.with_suffix(f".{os.getpid()}")
        command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(unfinished), str(SHIM_SOURCE), "-ldl"]
        subprocess.run(command, check=True)
        unfinished.rename(library)
    return library


class FaultControl:
    """Controls the faults of all processes that share a control file."""

    def __init__(self, path: Path, *, seed: int = 1, disk: Path | None = None) -> None:
        """Create the control file.

        ``seed``: of the shim's draws; ``disk``: the folder to which disk faults apply; None: to
        no folder.
        """
        path.write_bytes(bytes(CONTROL_BYTES))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), CONTROL_BYTES)
        self.environment = {
            "LD_PRELOAD": str(build_shim()),
            "FAULT_CONTROL": str(path),
            "FAULT_SEED": str(seed),
        } | ({} if disk is None else {"FAULT_DISK": f"{disk}/"})

    def start(self, fault: Fault, error: int = errno.EIO, percent: int = 100) -> None:
        """Make a percentage of the calls fail with the errno ``error`` from now on."""
        struct.pack_into("ii", self._memory, fault * FAULT_FORMAT.size, error, percent)

    def stop(self, *faults: Fault) -> None:
        """Stop the given faults, or all if none is given."""
        for fault in faults or Fault:
            struct.pack_into("ii", self._memory, fault * FAULT_FORMAT.size, 0, 0)

    def injected(self, fault: Fault) -> int:
        """Return how often a fault has been injected so far."""
        return FAULT_FORMAT.unpack_from(self._memory, fault * FAULT_FORMAT.size)[2]

    def step_wall_clock(self, seconds: int) -> None:
        """Set by how many seconds the process's wall clock is ahead of the real time."""
        struct.pack_into("q", self._memory, CLOCK_OFFSET, seconds * NS_PER_S)
