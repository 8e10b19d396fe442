"""Map the settings of ``[sip]`` to the SIP front's."""

from __future__ import annotations

from oakbridge.config import schema
from oakbridge.sip.front import Options
from oakbridge.sip.proxy import Rule, Settings


def sip_settings(file: schema.File) -> Settings:
    """Return the proxy's settings; the file must have ``[sip]``."""
    sip = _required_table(file)
    host, port = sip.listen
    rules = tuple(Rule(route.klass, frozenset(route.methods), route.user_prefix) for route in sip.routes)
    deadlines = {request_class.name: request_class.deadline for request_class in file.classes}
    return Settings(
        host,
        port,
        rules,
        deadlines,
        sip.tenant_header.lower(),
        sip.key_header.lower(),
        sip.transactions,
        sip.transactions_each,
    )


def sip_options(file: schema.File) -> Options:
    """Return the front's sockets; the file must have ``[sip]``."""
    sip = _required_table(file)
    return Options(sip.listen, sip.server_port, sip.tcp)


def _required_table(file: schema.File) -> schema.SipTable:
    assert file.sip is not None
    return file.sip
