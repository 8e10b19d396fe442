"""Handle requests about sites."""

from __future__ import annotations

from typing import Any, Protocol

from oakbridge.control.arguments import DrainOrReturnSiteArguments, SiteHistoryArguments
from oakbridge.control.errors import RequestRejectedError
from oakbridge.control.protocol import ControlCommand, JsonObject, Request


class SiteController(Protocol):
    """The sites' states, as this node has them, and the operators' drains of sites."""

    def describe(self) -> dict[str, Any]:
        """Return all sites with their states."""

    def state_history(self, name: str) -> list[dict[str, Any]]:
        """Return the changes of a site's state, oldest first.

        Raises KeyError for an unknown name.
        """

    def drain_or_return(self, site: str, drain: bool, operator: str) -> dict[str, Any]:
        """Drain a site if ``drain`` is set, else return it to service.

        ``operator``: who gave the command; may be empty.  Raises RequestRejectedError.
        """


def handle_site_request(sites: SiteController | None, request: Request) -> JsonObject:
    """Return the result of a command about sites.  Raises RequestRejectedError."""
    if sites is None:
        raise RequestRejectedError(
            "this node has no plan for sites: its configuration has no [sites]"
        )
    if request.command is ControlCommand.SITES:
        return sites.describe()
    if request.command is ControlCommand.SITE_HISTORY:
        return _site_history(sites, SiteHistoryArguments.decode(request.arguments).site)
    arguments = DrainOrReturnSiteArguments.decode(request.arguments)
    return sites.drain_or_return(arguments.site, arguments.drain, arguments.operator)


def _site_history(sites: SiteController, site: str) -> JsonObject:
    try:
        return {"site": site, "history": sites.state_history(site)}
    except KeyError:
        raise RequestRejectedError(f"no site of the name {site!r:.80} is known here") from None
