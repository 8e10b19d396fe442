"""Encode the status of an agent and its instances for operators.

The names of the fields are part of the protocol: the reports of the operators' tool,
``fleet doctor`` and ``--json`` show them.
"""

from __future__ import annotations

import os
import time

from oakbridge import __version__
from oakbridge.agent.agent import Agent
from oakbridge.agent.clock import monotonic_us
from oakbridge.agent.managed_instance import ManagedInstance
from oakbridge.agent.record_codec import encode_outcome, token_record_fields
from oakbridge.agent.records import Step
from oakbridge.fleet.messages import JsonObject

US_PER_S = 1e6


def encode_status(agent: Agent) -> JsonObject:
    """Return an agent's status; times are Unix times in seconds."""
    lease = token_record_fields(agent.lease.record)
    lease["alive"] = agent.lease.is_active(monotonic_us())
    return {
        "agent": agent.name,
        "fleet": agent.fleet,
        "zone": agent.zone,
        "version": __version__,
        "pid": os.getpid(),
        "time": time.time(),
        "lease": lease,
        "instances": [encode_instance(instance) for instance in agent.instances.values()],
    }


def encode_instance(instance: ManagedInstance) -> JsonObject:
    """Return an instance's status."""
    record = instance.durable_record  # a newer record that is not on disk yet may be lost
    supervisor = instance.node.supervisor
    return {
        "name": instance.name,
        "listen": list(instance.spec.listen),
        "member": instance.spec.member,
        "generation": record.current.number,
        "digest": record.current.digest,
        "previous": record.previous.number,
        "drained": instance.is_drained,
        "change": record.state.value,
        "step": _encode_step(record.step),
        "outcomes": [encode_outcome(outcome) for outcome in record.outcomes],
        "process": supervisor.state.value,
        "pid": instance.node.pid,
        "runs": instance.running_generation,
        "crashes": supervisor.total_crashes,
        "crash_loop": supervisor.is_crash_looping,
        "last_exit": supervisor.last_exit,
        "answers": bool(instance.node_status),
        "heard": instance.status_received_at_s,
        "node": instance.node_status,
    }


def _encode_step(step: Step | None) -> JsonObject | None:
    if step is None:
        return None
    return {"id": step.step_id, "target": step.target.number}
