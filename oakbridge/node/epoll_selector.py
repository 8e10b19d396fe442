"""A selector on epoll whose changes of what is waited for may fail for a moment.

epoll_ctl(2) fails with ENOMEM or ENOSPC while the kernel is short of memory or of watches.  The
standard selector raises then, in whichever part of the event loop made the change, and the
connection is lost or never heard of again.  Here the change is made again, at the latest after
:data:`RETRY_S`, until it succeeds or is not wanted any more.
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

FileObject = Any  # a descriptor, or what has a fileno()
Ready = list[tuple[selectors.SelectorKey, int]]


class EpollSelector(selectors.BaseSelector):
    """Waits for descriptors; the kernel may know of a change a little later than the caller."""

    def __init__(self) -> None:
        """Make a selector without descriptors.  Raises OSError."""
        self._epoll = select.epoll()
        self._keys: dict[int, selectors.SelectorKey] = {}
        self._in_kernel: set[int] = set()  # that epoll knows, as far as it said
        self._failed: set[int] = set()  # of which it does not know the latest

    # ---- what is waited for

    def register(
        self, fileobj: FileObject, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """Wait for a descriptor.  Raises KeyError where it is registered already."""
        descriptor = _descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{fileobj!r} (descriptor {descriptor}) is already registered")
        key = selectors.SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        self._change(descriptor)
        return key

    def modify(
        self, fileobj: FileObject, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """Wait for something else of a descriptor.  Raises KeyError where it is not registered."""
        descriptor = _descriptor(fileobj)
        before = self._keys[descriptor]
        key = before._replace(events=events, data=data)
        self._keys[descriptor] = key
        if events != before.events:
            self._change(descriptor)
        return key

    def unregister(self, fileobj: FileObject) -> selectors.SelectorKey:
        """Wait for a descriptor no more.  Raises KeyError where it is not registered."""
        descriptor = _descriptor(fileobj)
        key = self._keys.pop(descriptor)
        self._change(descriptor)
        return key

    def get_key(self, fileobj: FileObject) -> selectors.SelectorKey:
        """Return what is waited for.  Raises KeyError where it is not registered."""
        return self._keys[_descriptor(fileobj)]

    def get_map(self) -> Mapping[FileObject, selectors.SelectorKey]:
        """Return what is waited for, by descriptor."""
        return self._keys

    def close(self) -> None:
        """Wait for nothing any more."""
        self._epoll.close()
        self._keys.clear()

    # ---- waiting

    def select(self, timeout: float | None = None) -> Ready:
        """Return which descriptors are ready, after ``timeout`` seconds at most; None: for ever."""
        if self._failed:
            self._change_again()
            timeout = RETRY_S if timeout is None else min(timeout, RETRY_S)
        wait_s = -1.0 if timeout is None else max(0.0, timeout)
        try:
            events = self._epoll.poll(wait_s, max(1, len(self._keys)))
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

    def _change_again(self) -> None:
        failed, self._failed = self._failed, set()
        for descriptor in failed:
            # A wait must not end the event loop for one that was closed before it was unregistered.
            with suppress(OSError):
                self._change(descriptor)

    def _change(self, descriptor: int) -> None:
        """Tell the kernel what is waited for now, or have that be tried again."""
        try:
            self._tell_kernel(descriptor)
        except OSError as error:
            if not (is_resource_error(error) or error.errno == errno.ENOSPC):
                self._forget(descriptor)
                raise
            if not self._failed:
                log.warning("epoll_ctl fails and is tried again: %s", error)
            self._failed.add(descriptor)

    def _tell_kernel(self, descriptor: int) -> None:
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
        except FileNotFoundError:  # it was closed, and its number given to another file
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
            # It was closed, and the kernel has forgotten it.
        self._in_kernel.discard(descriptor)

    def _forget_in_kernel(self, descriptor: int) -> None:
        """End the events of a descriptor that nobody waits for.

        The kernel keeps one that was closed here while another process has the same open file, and
        then no call can name it: only another epoll instance is without it.
        """
        try:
            self._epoll.unregister(descriptor)
        except OSError as error:
            if error.errno not in (errno.EBADF, errno.ENOENT):
                self._failed.add(descriptor)
                return
            try:
                renewed = select.epoll()
            except OSError:
                return  # it is told again with the next wait
            self._epoll.close()
            self._epoll = renewed
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
