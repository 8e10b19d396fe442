"""What the file's ``[sip]`` tells the SIP front."""

from __future__ import annotations

from oakbridge.config import schema
from oakbridge.sip.front import Options
from oakbridge.sip.proxy import Rule, Settings


def sip_settings(file: schema.File) -> Settings:
    """The proxy's settings."""
    sip = file.sip
    assert sip is not None
    host, port = sip.listen
    rules = tuple(Rule(r.klass, frozenset(r.methods), r.user_prefix) for r in sip.routes)
    deadlines = {c.name: c.deadline for c in file.classes}
    return Settings(
        host, port, rules, deadlines, sip.tenant_header.lower(), sip.key_header.lower(), sip.transactions,
        sip.transactions_each,
    )  # fmt: skip


def sip_options(file: schema.File) -> Options:
    """The front's sockets."""
    sip = file.sip
    assert sip is not None
    return Options(sip.listen, sip.server_port, sip.tcp)
