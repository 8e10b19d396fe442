"""Network addresses: a numeric IPv4 host and a port."""

from __future__ import annotations

import ipaddress

from oakbridge.node.errors import ConfigError

MAX_PORT = 65535

Address = tuple[str, int]


def parse_address(text: object) -> Address:
    """Parse ``host:port``; raise ConfigError if it is invalid.  Host names are not resolved."""
    host, _, port = str(text).rpartition(":")
    try:
        number = int(port)
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"expected an IPv4 address and a port, got {text!r:.80}") from None
    if not 0 <= number <= MAX_PORT:
        raise ConfigError(f"expected a port below {MAX_PORT + 1}, got {text!r:.80}")
    return host, number
