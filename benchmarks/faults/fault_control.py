"""Switches the faults that ``fault_shim.c`` injects into a process under test."""

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
FAULT_FORMAT = struct.Struct("iiII")  # struct fault: error, percent, injected, reserved
KINDS = 16
CLOCK_OFFSET = KINDS * FAULT_FORMAT.size
CONTROL_BYTES = CLOCK_OFFSET + 8
NS_PER_S = 1_000_000_000


class Fault(IntEnum):
    """A system call that can be made to fail: ``enum kind`` of the shim."""

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
    SEND_PASSING = 12  # on all connections: errors that are no break
    RECEIVE_PASSING = 13
    EPOLL_CONTROL = 14  # any change of what an event loop waits for


DISK_FAULTS = (Fault.DISK_WRITE, Fault.DISK_SYNC, Fault.DISK_METADATA)


def build_shim() -> Path:
    """Compile the shim once for each content of its source; return the library's path."""
    digest = hashlib.sha256(SHIM_SOURCE.read_bytes()).hexdigest()[:16]
    library = Path(tempfile.gettempdir()) / f"oakbridge-fault-shim-{os.getuid()}-{digest}.so"
    if not library.exists():
        unfinished = library.with_suffix(f".{os.getpid()}")
        command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(unfinished), str(SHIM_SOURCE), "-ldl"]
        subprocess.run(command, check=True)
        unfinished.rename(library)
    return library


class FaultControl:
    """The faults of one process, or of all that share a control file."""

    def __init__(self, path: Path, *, seed: int = 1, disk: Path | None = None) -> None:
        """Make the control file; ``disk``: the folder whose writes can be made to fail."""
        path.write_bytes(bytes(CONTROL_BYTES))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), CONTROL_BYTES)
        self.environment = {
            "LD_PRELOAD": str(build_shim()),
            "FAULT_CONTROL": str(path),
            "FAULT_SEED": str(seed),
        } | ({} if disk is None else {"FAULT_DISK": f"{disk}/"})

    def start(self, fault: Fault, error: int = errno.EIO, percent: int = 100) -> None:
        """Have a share of the calls fail with an errno from now on."""
        struct.pack_into("ii", self._memory, fault * FAULT_FORMAT.size, error, percent)

    def stop(self, *faults: Fault) -> None:
        """Have calls succeed again: these, or all."""
        for fault in faults or Fault:
            struct.pack_into("ii", self._memory, fault * FAULT_FORMAT.size, 0, 0)

    def injected(self, fault: Fault) -> int:
        """Return how many calls were made to fail so far."""
        return FAULT_FORMAT.unpack_from(self._memory, fault * FAULT_FORMAT.size)[2]

    def step_wall_clock(self, seconds: int) -> None:
        """Have the wall clock show so much more than the time."""
        struct.pack_into("q", self._memory, CLOCK_OFFSET, seconds * NS_PER_S)
