"""Which failures of system calls are passing, and what they are about: this process or a peer.

Linux documents them in accept(2), socket(2), connect(2) and listen(2).
"""

from __future__ import annotations

import errno

# The process or the system is short of something: the same call may succeed in a moment.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN})
# A file can't be read for a moment.
READ_ERRORS = RESOURCE_ERRORS | {errno.EIO, errno.EINTR, errno.ETIMEDOUT}
# accept() reports an error that one waiting connection already has; the next one may be good.
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
# connect() reports what the other end or the way to it has done; all else is this machine's.
REMOTE_CONNECT_ERRORS = frozenset(
    {errno.ECONNREFUSED, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH}
)


# The way to the other end broke, or this end of it; the other may be as it was, and not know.
PATH_ERRORS = RESOURCE_ERRORS | {
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENETDOWN,
}


def is_path_error(error: Exception) -> bool:
    """Return whether a connection broke on its way or at this end, rather than at its other."""
    return isinstance(error, OSError) and error.errno in PATH_ERRORS


def is_resource_error(error: OSError) -> bool:
    """Return whether the process or the system is short of something for a moment."""
    return error.errno in RESOURCE_ERRORS


def is_read_error(error: OSError) -> bool:
    """Return whether a file that could not be read may be readable in a moment."""
    return error.errno in READ_ERRORS


def is_connection_error(error: OSError) -> bool:
    """Return whether accept() failed for one waiting connection alone."""
    return error.errno in CONNECTION_ERRORS


def is_local_connect_error(code: int | None) -> bool:
    """Return whether connect() failed on this machine, so that the other end has seen nothing."""
    return code is not None and code not in REMOTE_CONNECT_ERRORS
