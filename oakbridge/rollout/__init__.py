"""Rollouts: a change over many instances, in waves, each with a gate.

Pure decisions: ``plan`` (which instances in which wave), ``gate`` and ``gate_window`` (whether the
changed ones serve as well as the others), ``machine`` (what is sent when, when to halt), with its
``record`` and ``actions``; ``change`` (what is changed), ``step_report`` (what agents report),
``rebuild`` and ``doctor``.

Input and output: ``coordinator`` carries out one rollout with ``lease_holder``, ``step_sender``
and ``agent_watcher``; ``journal`` is the operator's record of rollouts on disk.
"""
