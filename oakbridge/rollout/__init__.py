"""Rollouts: apply a change to many instances, in waves, with a gate after each wave.

Decisions without input or output: ``plan`` (which instances change in which wave), ``gate`` and
``gate_window`` (whether changed instances serve as well as unchanged ones), ``machine`` (when to
send each step and when to halt) with its ``record`` and ``actions``, ``change`` and
``setting_path`` (what is changed), ``step_report`` (what agents report), ``silence_timeout``,
``rebuild`` and ``doctor``.

Input and output: ``coordinator`` carries out one rollout with ``lease_holder``, ``step_sender``
and ``agent_watcher``; ``journal`` stores rollouts on the operator's disk.
"""
