"""Map the table ``[sip]`` to the settings of the SIP proxy and its front."""

from __future__ import annotations

from oakbridge.config import schema
from oakbridge.sip.front import FrontOptions
from oakbridge.sip.settings import ClassRule, ProxySettings


def sip_settings(file: schema.ConfigFile) -> ProxySettings:
    """Return the proxy's settings; the file must have ``[sip]``."""
    sip = _required_table(file)
    host, port = sip.listen
    return ProxySettings(
        host=host,
        port=port,
        rules=tuple(_class_rule(route) for route in sip.routes),
        deadlines_us={request_class.name: request_class.deadline for request_class in file.classes},
        tenant_header=sip.tenant_header.lower(),
        key_header=sip.key_header.lower(),
        max_server_transactions=sip.transactions,
        max_server_transactions_per_host=sip.transactions_each,
    )


def sip_options(file: schema.ConfigFile) -> FrontOptions:
    """Return where the front listens; the file must have ``[sip]``."""
    sip = _required_table(file)
    return FrontOptions(sip.listen, sip.server_port, sip.tcp)


def _class_rule(route: schema.SipRoute) -> ClassRule:
    return ClassRule(route.class_name, frozenset(route.methods), route.user_prefix)


def _required_table(file: schema.ConfigFile) -> schema.SipTable:
    assert file.sip is not None
    return file.sip
