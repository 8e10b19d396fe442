"""Options that several commands share: the waves and the timing of a rollout."""

from __future__ import annotations

import functools
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import click

from oakbridge.cli.common import InvalidInputError
from oakbridge.rollout.coordinator import RolloutOptions
from oakbridge.rollout.plan import PlanError, Target, Wave, WaveOptions, plan_waves

# Click's decorators do not keep the type of the command that they decorate.
Command = Callable[..., Any]


@dataclass(frozen=True, slots=True)
class WaveArguments:
    """The options that say how a fleet is divided into waves."""

    canary: int
    shares: tuple[float, ...]
    unavailable: int
    by_zone: bool
    only: tuple[str, ...]

    def plan(self, targets: Sequence[Target]) -> tuple[Wave, ...]:
        """Return the waves.  Raises InvalidInputError if they can't be planned."""
        shares = self.shares or WaveOptions().shares
        try:
            options = WaveOptions(self.canary, shares, self.by_zone, self.unavailable)
            return plan_waves(targets, options)
        except PlanError as error:
            raise InvalidInputError(str(error)) from None


def wave_options(command: Command) -> Command:
    """Add the options for waves; the command gets ``waves``, a :class:`WaveArguments`."""

    @functools.wraps(command)
    def with_waves(
        canary: int,
        shares: tuple[float, ...],
        unavailable: int,
        by_zone: bool,
        only: tuple[str, ...],
        **other_options: Any,
    ) -> Any:
        waves = WaveArguments(canary, shares, unavailable, by_zone, only)
        return command(waves=waves, **other_options)

    options = (
        click.option(
            "--canary",
            default=1,
            type=click.IntRange(0),
            help="Instances of the first wave.",
        ),
        click.option(
            "--share",
            "shares",
            multiple=True,
            type=float,
            help="Of all, by the end of a wave; 0.1, 0.5 and 1.",
        ),
        click.option(
            "--unavailable",
            default=1,
            type=click.IntRange(1),
            help="Instances in change at one time.",
        ),
        click.option(
            "--by-zone", is_flag=True, help="Never two zones in one wave, but for the canary."
        ),
        click.option(
            "--only",
            multiple=True,
            metavar="AGENT/INSTANCE",
            help="These alone; may be given again.",
        ),
    )
    return _decorate(with_waves, options)


def timing_options(command: Command) -> Command:
    """Add the options for timeouts and ``--json``; the command gets ``options`` and ``as_json``."""

    @functools.wraps(command)
    def with_options(watch: float, window: float, silent: float, **other_options: Any) -> Any:
        return command(options=RolloutOptions(watch, window, silent), **other_options)

    options = (
        click.option(
            "--watch",
            default=5.0,
            type=click.FloatRange(0.5, 600),
            help="Seconds that an instance is watched.",
        ),
        click.option(
            "--window",
            default=10.0,
            type=click.FloatRange(0.5, 3600),
            help="Seconds that a gate looks.",
        ),
        click.option(
            "--silent",
            default=30.0,
            type=click.FloatRange(1, 3600),
            help="Seconds after which silence is unknown.",
        ),
        click.option("--json", "as_json", is_flag=True, help="The report as JSON."),
    )
    return _decorate(with_options, options)


def _decorate(command: Command, options: Sequence[Callable[[Command], Command]]) -> Command:
    """Add the options so that ``--help`` lists them in this order."""
    for option in reversed(options):
        command = option(command)
    return command
