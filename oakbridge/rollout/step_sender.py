"""Sends the steps of a rollout to agents, each again until its agent has answered."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from oakbridge.fleet import messages
from oakbridge.fleet.client import AgentResponse, FleetClient
from oakbridge.rollout import step_report
from oakbridge.rollout.agent_watcher import AgentWatcher
from oakbridge.rollout.change import Change, Drain, Files, ReplaceFiles
from oakbridge.rollout.change_error import ChangeError
from oakbridge.rollout.lease_holder import LeaseHolder
from oakbridge.rollout.plan import Target

RETRY_S = 0.5  # before a step without an answer is sent again


class StepRefusedError(Exception):
    """An agent will not carry out a step, or the step cannot be made; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class StepSender:
    """The steps of one rollout."""

    def __init__(
        self,
        operator: FleetClient,
        lease_holder: LeaseHolder,
        watcher: AgentWatcher,
        rollout: int,
        change: Change,
        *,
        sources: Mapping[str, int],
        watch_s: float,
    ) -> None:
        """Prepare to send.

        ``sources`` is the generation that an instance's files are made from, where it is not the
        one that it runs; ``watch_s`` is how long an agent watches an instance after the step.
        """
        self._operator = operator
        self._lease_holder = lease_holder
        self._watcher = watcher
        self._rollout = rollout
        self._change = change
        self._sources = sources
        self._watch_us = int(watch_s * 1e6)

    async def send(self, target: Target, is_awaited: Callable[[], bool]) -> None:
        """Send the step of an instance until its agent has accepted it, or it is awaited no longer.

        Raise :class:`StepRefusedError`.
        """
        await _retry(lambda: self._send_once(target), is_awaited)

    async def roll_back(self, target: Target, is_awaited: Callable[[], bool]) -> None:
        """Send a step with the files of the generation before, under a new generation number.

        Raise :class:`StepRefusedError`.
        """
        await _retry(lambda: self._roll_back_once(target), is_awaited)

    async def resolve(self, target: Target, is_awaited: Callable[[], bool]) -> None:
        """Have the agent promise our token: a step that has not begun by then never will."""
        while is_awaited():
            await self._lease_holder.admit(target.agent)
            await asyncio.sleep(RETRY_S)

    async def _send_once(self, target: Target) -> bool:
        """Return whether the agent has accepted the step; False without an answer."""
        if not await self._lease_holder.admit(target.agent):
            return False
        files = await self._files(target)
        if files is None:
            return False
        order = messages.StepRequest(
            token=self._lease_holder.lease.token,
            step_id=step_report.step_id(self._rollout, target.instance),
            instance=target.instance,
            generation=self._rollout,
            base_generation=target.base_generation,
            watch_us=self._watch_us,
            files=files,
        )
        return await self._order(target, order)

    async def _roll_back_once(self, target: Target) -> bool:
        before = await self._fetch(target, target.base_generation or self._rollout)
        if before is None:
            return False
        files = before if target.base_generation else Drain("it ran nothing before").apply(before)
        token = await self._lease_holder.raise_above(self._rollout)
        if not await self._lease_holder.admit(target.agent):
            return False
        order = messages.StepRequest(
            token=token,
            step_id=step_report.rollback_step_id(self._rollout, target.instance),
            instance=target.instance,
            generation=token,
            base_generation=self._rollout,
            watch_us=self._watch_us,
            files=files,
        )
        return await self._order(target, order)

    async def _files(self, target: Target) -> Files | None:
        """Return the files that the instance should run by; None without an answer of its agent."""
        source = self._sources.get(target.name, target.base_generation)
        before: Files | None = {}
        if source and (target.is_drained or not isinstance(self._change, ReplaceFiles)):
            before = await self._fetch(target, source)
        if before is None:
            return None
        try:
            return self._change.apply(before)
        except ChangeError as error:
            raise StepRefusedError(str(error)) from None

    async def _fetch(self, target: Target, generation: int) -> Files | None:
        response = await self._operator.call(
            target.agent, messages.FilesRequest(target.instance, generation)
        )
        if not _is_answer(response):
            return None
        _raise_for_refusal(response)
        files: Files = response.body["files"]
        return files

    async def _order(self, target: Target, order: messages.StepRequest) -> bool:
        response = await self._operator.call(target.agent, order)
        self._watcher.request_poll(target.agent)
        # The agent may have our new token before we know that it is granted: the step is sent again
        # under that.
        if response.status == 409 and await self._lease_holder.has_been_raised(order.token):
            return False
        if not _is_answer(response):
            return False
        _raise_for_refusal(response)
        return True


async def _retry(send_once: Callable[[], Awaitable[bool]], is_awaited: Callable[[], bool]) -> None:
    while is_awaited():
        if await send_once():
            return
        await asyncio.sleep(RETRY_S)


def _is_answer(response: AgentResponse) -> bool:
    """Return whether the agent has decided: after an error of its own it is asked again."""
    return bool(response.status) and response.status < 500


def _raise_for_refusal(response: AgentResponse) -> None:
    if response.status >= 400:
        raise StepRefusedError(str(response.body.get("error", response.status)))
