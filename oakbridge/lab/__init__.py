"""A fleet of real processes on loopback, under faults by a seed, and what it is judged by.

Pure: ``plan`` (the file), ``course`` (what happens when), ``links`` (what passes between two), ``checks`` (what held).
Shells: ``switch``, ``servers``, ``load`` and ``keeper``, each a process of its own; ``conduct`` plays the whole.
"""
