"""The command ``oakbridge`` and how it ends: 0 done, 1 it did not work, 2 a mistake in how it was asked."""

from __future__ import annotations

import importlib
import sys

import click

from oakbridge import __version__

COMMANDS = {
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


class Commands(click.Group):
    """Imports a command only when it is called: `status` needs no load generator."""

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002 - click's interface
        """All commands, in the order in which one meets them."""
        return list(COMMANDS)

    def get_command(
        self,
        ctx: click.Context,  # noqa: ARG002 - click's interface
        cmd_name: str,
    ) -> click.Command | None:
        """The command of this name."""
        if cmd_name not in COMMANDS:
            return None
        command = importlib.import_module(COMMANDS[cmd_name]).command
        assert isinstance(command, click.Command)
        return command


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="oakbridge")
def cli() -> None:
    """A load balancer for services that call services.

    `oakbridge demo` shows it at work; docs/getting-started.md goes on from there.
    """


def main() -> int:
    """Run the command line; returns the exit code."""
    try:
        code = cli.main(prog_name="oakbridge", standalone_mode=False)
    except click.exceptions.Exit as e:
        return e.exit_code
    except click.Abort:
        print("oakbridge: stopped", file=sys.stderr)
        return 130
    except click.ClickException as e:
        e.show()
        return e.exit_code
    except BrokenPipeError:
        return 1
    return code if isinstance(code, int) else 0  # of an Exit, which comes back as its code
