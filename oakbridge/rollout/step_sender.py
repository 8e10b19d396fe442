"""Sends the steps of a rollout to agents, and retries each until its agent has decided."""

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

RETRY_S = 0.5  # delay before a step without a decision is sent again


class StepRefusedError(Exception):
    """An agent refuses a step, or the step cannot be prepared; ``reason`` says why."""

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

        ``sources`` has, by instance name, the generation whose files the change is applied to,
        where that is not the running generation.  ``watch_s`` is how long an agent watches an
        instance after the step.
        """
        self._operator = operator
        self._lease_holder = lease_holder
        self._watcher = watcher
        self._rollout = rollout
        self._change = change
        self._sources = sources
        self._watch_us = int(watch_s * 1e6)

    async def send(self, target: Target, is_awaited: Callable[[], bool]) -> None:
        """Send the step of an instance until its agent accepts it or its result is not awaited.

        Raise :class:`StepRefusedError` if the agent refuses the step or it cannot be prepared.
        """
        await _retry(lambda: self._send_once(target), is_awaited)

    async def roll_back(self, target: Target, is_awaited: Callable[[], bool]) -> None:
        """Send a step with the files of the previous generation, under a new generation number.

        Raise :class:`StepRefusedError` if the agent refuses the step.
        """
        await _retry(lambda: self._roll_back_once(target), is_awaited)

    async def resolve(self, target: Target, is_awaited: Callable[[], bool]) -> None:
        """Have the agent promise our token; it then begins no step under an earlier token."""
        while is_awaited():
            await self._lease_holder.ensure_granted(target.agent)
            await asyncio.sleep(RETRY_S)

    async def _send_once(self, target: Target) -> bool:
        """Return whether the agent has accepted the step; False if it has not decided."""
        if not await self._lease_holder.ensure_granted(target.agent):
            return False
        files = await self._changed_files(target)
        if files is None:
            return False
        request = messages.StepRequest(
            token=self._lease_holder.lease.token,
            step_id=step_report.step_id(self._rollout, target.instance),
            instance=target.instance,
            generation=self._rollout,
            base_generation=target.base_generation,
            watch_us=self._watch_us,
            files=files,
        )
        return await self._send_request(target, request)

    async def _roll_back_once(self, target: Target) -> bool:
        previous_files = await self._fetch_files(target, target.base_generation or self._rollout)
        if previous_files is None:
            return False
        files = (
            previous_files
            if target.base_generation
            else Drain("it ran nothing before").apply(previous_files)
        )
        token = await self._lease_holder.raise_token_above(self._rollout)
        if not await self._lease_holder.ensure_granted(target.agent):
            return False
        request = messages.StepRequest(
            token=token,
            step_id=step_report.rollback_step_id(self._rollout, target.instance),
            instance=target.instance,
            generation=token,
            base_generation=self._rollout,
            watch_us=self._watch_us,
            files=files,
        )
        return await self._send_request(target, request)

    async def _changed_files(self, target: Target) -> Files | None:
        """Return the files after the change; None if the agent has not returned the old files."""
        source_generation = self._sources.get(target.name, target.base_generation)
        old_files: Files | None = {}
        if source_generation and (target.is_drained or not isinstance(self._change, ReplaceFiles)):
            old_files = await self._fetch_files(target, source_generation)
        if old_files is None:
            return None
        try:
            return self._change.apply(old_files)
        except ChangeError as error:
            raise StepRefusedError(str(error)) from None

    async def _fetch_files(self, target: Target, generation: int) -> Files | None:
        response = await self._operator.call(
            target.agent, messages.FilesRequest(target.instance, generation)
        )
        if not _has_decided(response):
            return None
        _raise_for_refusal(response)
        files: Files = response.body["files"]
        return files

    async def _send_request(self, target: Target, request: messages.StepRequest) -> bool:
        response = await self._operator.call(target.agent, request)
        self._watcher.request_poll(target.agent)
        # The agent may have granted our new token before we know it: the step is then sent again
        # under the new token.
        if response.status == 409 and await self._lease_holder.has_token_changed(request.token):
            return False
        if not _has_decided(response):
            return False
        _raise_for_refusal(response)
        return True


async def _retry(send_once: Callable[[], Awaitable[bool]], is_awaited: Callable[[], bool]) -> None:
    while is_awaited():
        if await send_once():
            return
        await asyncio.sleep(RETRY_S)


def _has_decided(response: AgentResponse) -> bool:
    """Return whether the agent has decided; a request that failed with 5xx is retried."""
    return bool(response.status) and response.status < 500


def _raise_for_refusal(response: AgentResponse) -> None:
    if response.status >= 400:
        raise StepRefusedError(str(response.body.get("error", response.status)))
