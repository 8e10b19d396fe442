"""Text form of members' addresses in records: ``IPv4:port``."""

from __future__ import annotations

import functools

from oakbridge.node.address import Address, parse_address

CACHED_ADDRESSES = 4096


def format_address(address: Address) -> str:
    """Return the text form of an address."""
    return f"{address[0]}:{address[1]}"


@functools.lru_cache(CACHED_ADDRESSES)
def parse_member_address(text: str) -> Address:
    """Parse the text form.  Raises ValueError, also for a host name: names are never resolved."""
    return parse_address(text)
