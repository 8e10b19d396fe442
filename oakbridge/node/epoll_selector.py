"""A selector on epoll that retries epoll_ctl(2) after transient errors.

epoll_ctl(2) fails with ENOMEM or ENOSPC while the kernel is short of memory or of watches.  The
standard selector then raises in whichever part of the event loop made the change, and the
connection is closed or never reported as ready again.  This selector retries the change, at the
latest after :data:`RETRY_S`, until it succeeds or is no longer needed.
"""

from __future__ import annotations

import errno
import logging
import select
import selectors
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

from oakbridge.node.system_errors import is_resource_error

log = logging.getLogger(__name__)

RETRY_S = 0.01
# Ready descriptors that one turn of the event loop handles at most: timers are checked between turns.
MAX_READY = 32

FileObject = Any  # a descriptor, or an object with a fileno() method
Ready = list[tuple[selectors.SelectorKey, int]]


class EpollSelector(selectors.BaseSelector):
    """Waits for descriptors; a change may reach the kernel a little after its method returns."""

    def __init__(self) -> None:
        """Create a selector without descriptors.  Raises OSError."""
        self._epoll = select.epoll()
        self._keys: dict[int, selectors.SelectorKey] = {}
        self._in_kernel: set[int] = set()  # descriptors that were registered with epoll
        self._failed: set[int] = set()  # descriptors whose last change did not reach the kernel

    # ---- registered descriptors

    def register(
        self, fileobj: FileObject, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """Register a descriptor.  Raises KeyError if it is registered already."""
        descriptor = _descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{fileobj!r} (descriptor {descriptor}) is already registered")
        key = selectors.SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        self._update(descriptor)
        return key

    def modify(
        self, fileobj: FileObject, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """Change the events and data of a descriptor.  Raises KeyError if it is not registered."""
        descriptor = _descriptor(fileobj)
        previous = self._keys[descriptor]
        key = previous._replace(events=events, data=data)
        self._keys[descriptor] = key
        if events != previous.events:
            self._update(descriptor)
        return key

    def unregister(self, fileobj: FileObject) -> selectors.SelectorKey:
        """Unregister a descriptor.  Raises KeyError if it is not registered."""
        descriptor = _descriptor(fileobj)
        key = self._keys.pop(descriptor)
        self._update(descriptor)
        return key

    def get_key(self, fileobj: FileObject) -> selectors.SelectorKey:
        """Return the key of a descriptor.  Raises KeyError if it is not registered."""
        return self._keys[_descriptor(fileobj)]

    def get_map(self) -> Mapping[FileObject, selectors.SelectorKey]:
        """Return the keys by descriptor."""
        return self._keys

    def close(self) -> None:
        """Close the epoll instance and unregister all descriptors."""
        self._epoll.close()
        self._keys.clear()

    # ---- waiting

    def select(self, timeout: float | None = None) -> Ready:
        """Return the ready descriptors; wait ``timeout`` seconds at most, None: without a limit."""
        if self._failed:
            self._retry_failed_changes()
            timeout = RETRY_S if timeout is None else min(timeout, RETRY_S)
        wait_s = -1.0 if timeout is None else max(0.0, timeout)
        try:
            events = self._epoll.poll(wait_s, MAX_READY)
        except InterruptedError:
            return []
        ready: Ready = []
        for descriptor, event in events:
            key = self._keys.get(descriptor)
            if key is None:
                self._forget_in_kernel(descriptor)
                continue
            mask = selectors.EVENT_WRITE if event & ~select.EPOLLIN else 0
            if event & ~select.EPOLLOUT:
                mask |= selectors.EVENT_READ
            if mask & key.events:
                ready.append((key, mask & key.events))
        return ready

    # ---- the kernel

    def _retry_failed_changes(self) -> None:
        failed, self._failed = self._failed, set()
        for descriptor in failed:
            # A descriptor may have been closed before it was unregistered; the error must not stop
            # the event loop.
            with suppress(OSError):
                self._update(descriptor)

    def _update(self, descriptor: int) -> None:
        """Pass the state of a descriptor to the kernel; after a transient error, retry later."""
        try:
            self._update_kernel(descriptor)
        except OSError as error:
            if not (is_resource_error(error) or error.errno == errno.ENOSPC):
                self._forget(descriptor)
                raise
            if not self._failed:
                log.warning("epoll_ctl failed, retrying: error=%s", error)
            self._failed.add(descriptor)

    def _update_kernel(self, descriptor: int) -> None:
        key = self._keys.get(descriptor)
        if key is None:
            self._remove(descriptor)
            return
        events = select.EPOLLIN if key.events & selectors.EVENT_READ else 0
        if key.events & selectors.EVENT_WRITE:
            events |= select.EPOLLOUT
        try:
            if descriptor in self._in_kernel:
                self._epoll.modify(descriptor, events)
            else:
                self._epoll.register(descriptor, events)
        except FileNotFoundError:  # the file was closed, and another file has its descriptor number
            self._epoll.register(descriptor, events)
        except FileExistsError:
            self._epoll.modify(descriptor, events)
        self._in_kernel.add(descriptor)

    def _remove(self, descriptor: int) -> None:
        try:
            self._epoll.unregister(descriptor)
        except OSError as error:
            if is_resource_error(error) or error.errno == errno.ENOSPC:
                raise
            # The descriptor was closed, which has removed it in the kernel, too.
        self._in_kernel.discard(descriptor)

    def _forget_in_kernel(self, descriptor: int) -> None:
        """Stop the events of a descriptor that is not registered here.

        If a descriptor was closed here while another process has the same open file, the kernel
        keeps its entry, and no call can remove it: only a new epoll instance is without it.
        """
        try:
            self._epoll.unregister(descriptor)
        except OSError as error:
            if error.errno not in (errno.EBADF, errno.ENOENT):
                self._failed.add(descriptor)
                return
            try:
                replacement = select.epoll()
            except OSError:
                return  # the next select() reports the event again
            self._epoll.close()
            self._epoll = replacement
            self._in_kernel.clear()
            self._failed.update(self._keys)

    def _forget(self, descriptor: int) -> None:
        self._keys.pop(descriptor, None)
        self._in_kernel.discard(descriptor)


def _descriptor(fileobj: FileObject) -> int:
    descriptor = fileobj if isinstance(fileobj, int) else int(fileobj.fileno())
    if descriptor < 0:
        raise ValueError(f"expected a descriptor of 0 or more, got {descriptor}")
    return descriptor
