"""The command ``oakbridge``.  Exit codes: 0 success, 1 failure, 2 invalid input, 130 Ctrl-C."""

from __future__ import annotations

import importlib
import sys

import click

from oakbridge import __version__

COMMAND_MODULES = {
    "serve": "oakbridge.cli.serve",
    "check": "oakbridge.cli.check",
    "servers": "oakbridge.cli.servers",
    "status": "oakbridge.cli.status",
    "peers": "oakbridge.cli.peers",
    "sites": "oakbridge.cli.sites",
    "spread": "oakbridge.cli.spread",
    "lab": "oakbridge.cli.lab",
    "demo": "oakbridge.cli.demo",
    "agent": "oakbridge.cli.agent",
    "fleet": "oakbridge.cli.rollout",
}


class LazyCommandGroup(click.Group):
    """Imports the module of a command only when it is used: `status` needs no load generator."""

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002 - click's interface
        """Return all names of commands in the order of the help."""
        return list(COMMAND_MODULES)

    def get_command(
        self,
        ctx: click.Context,  # noqa: ARG002 - click's interface
        cmd_name: str,
    ) -> click.Command | None:
        """Return the command of this name, None if there is none."""
        if cmd_name not in COMMAND_MODULES:
            return None
        command = importlib.import_module(COMMAND_MODULES[cmd_name]).command
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyCommandGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="oakbridge")
def cli() -> None:
    """A load balancer for services that call services.

    `oakbridge demo` shows it at work; docs/getting-started.md goes on from there.
    """


def main() -> int:
    """Run the command line and return the exit code."""
    try:
        result = cli.main(prog_name="oakbridge", standalone_mode=False)
    except click.exceptions.Exit as error:
        return error.exit_code
    except click.Abort:
        print("oakbridge: stopped", file=sys.stderr)
        return 130
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except BrokenPipeError:
        return 1
    return result if isinstance(result, int) else 0  # click returns the exit code of an Exit
