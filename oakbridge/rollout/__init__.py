"""Rollouts: a change over many instances, in waves, each with a gate.

``plan`` (which instances in which wave), ``gate`` (whether the changed ones do as well as the others) and
``machine`` (what is sent when, when to halt, what is reported) are pure; ``journal`` is the operator's memory,
``conduct`` the shell.
"""
