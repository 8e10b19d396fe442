"""The commands of ``oakbridge fleet`` that roll out changes to a fleet, or show its rollouts.

``commands`` (``plan``, ``apply``, ``drain``, ``undrain``, ``rollback``, ``resume``),
``journal_commands`` (``history``, ``rebuild``) and ``doctor_command`` register themselves with
:data:`command` when they are imported.
"""

from oakbridge.cli.fleet import command
from oakbridge.cli.rollout import commands, doctor_command, journal_commands

__all__ = ["command", "commands", "doctor_command", "journal_commands"]
