"""Classifies errors of system calls: transient or not, and caused by this machine or by a peer.

Linux documents the errors in accept(2), socket(2), connect(2) and listen(2).
"""

from __future__ import annotations

import errno

# The process or the system is short of a resource: the same call may succeed a moment later.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN})
# Transient errors of reading a file.
READ_ERRORS = RESOURCE_ERRORS | {errno.EIO, errno.EINTR, errno.ETIMEDOUT}
# accept() reports an error of one connection in the queue; the next connection may be good.
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
# Errors of connect() that are caused by the peer or the network; all others are of this machine.
REMOTE_CONNECT_ERRORS = frozenset(
    {errno.ECONNREFUSED, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH}
)
# Errors of the network or of this machine; the peer may be as before, and not know of the error.
NETWORK_ERRORS = RESOURCE_ERRORS | {
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENETDOWN,
}


def is_network_error(error: Exception) -> bool:
    """Return whether a connection broke in the network or on this machine, not at the peer."""
    return isinstance(error, OSError) and error.errno in NETWORK_ERRORS


def is_resource_error(error: OSError) -> bool:
    """Return whether an error is transient: the process or the system is short of a resource."""
    return error.errno in RESOURCE_ERRORS


def is_read_error(error: OSError) -> bool:
    """Return whether an error of reading a file is transient."""
    return error.errno in READ_ERRORS


def is_connection_error(error: OSError) -> bool:
    """Return whether accept() failed for a single connection only."""
    return error.errno in CONNECTION_ERRORS


def is_local_connect_error(error_number: int | None) -> bool:
    """Return whether connect() failed on this machine, so that the peer has seen nothing."""
    return error_number is not None and error_number not in REMOTE_CONNECT_ERRORS
