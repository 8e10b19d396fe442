"""Serve the requests of the fleet's operators.

Every request is idempotent: sent again, it gets the same response.
"""

from __future__ import annotations

import time
from http import HTTPStatus

from oakbridge.agent.agent import Agent
from oakbridge.agent.clock import monotonic_us
from oakbridge.agent.errors import (
    StepConflictError,
    StepInProgressError,
    StepNotDurableError,
    StoreError,
    StoreUnavailableError,
)
from oakbridge.agent.generations import check_files, digest_of
from oakbridge.agent.lease import LeaseDenied, LeaseGranted
from oakbridge.agent.managed_instance import CONFIG_FILE, ManagedInstance
from oakbridge.agent.records import Generation, Step, StepOutcome
from oakbridge.agent.status_codec import US_PER_S, encode_status
from oakbridge.fleet.codec import decode_request
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.messages import (
    FilesRequest,
    LeaseRequest,
    ReleaseRequest,
    Request,
    Response,
    StatusRequest,
    StepRequest,
    required_role,
)

MAX_SHOWN_PATH_LENGTH = 100


class OperatorApi:
    """Serves the requests of operators to one agent."""

    def __init__(self, agent: Agent) -> None:
        self._agent = agent

    async def handle(self, identity: Identity, method: str, path: str, body: bytes) -> Response:
        """Return the response to one request; ``identity`` is that of the sender's certificate.

        Raises:
            FleetMessageError: if the request is malformed.
        """
        request = decode_request(method, path, body)
        if request is None:
            return _error_response(
                HTTPStatus.NOT_FOUND, f"path: nothing at {method} {path[:MAX_SHOWN_PATH_LENGTH]}"
            )
        if (problem := _authorization_problem(identity, request)) is not None:
            return _error_response(HTTPStatus.FORBIDDEN, problem)
        match request:
            case StatusRequest():
                return Response(HTTPStatus.OK, encode_status(self._agent))
            case FilesRequest():
                return self._handle_files(request)
            case LeaseRequest():
                return self._handle_lease(request, identity.name)
            case ReleaseRequest():
                return self._handle_release(request, identity.name)
            case StepRequest():
                return await self._handle_step(request, identity.name)

    def _handle_files(self, request: FilesRequest) -> Response:
        generation = Generation(request.generation)
        try:
            files = self._agent.store.generations.read_files(request.instance, generation)
        except StoreUnavailableError as error:
            return _unavailable_response(error)
        except StoreError as error:
            return _error_response(HTTPStatus.NOT_FOUND, str(error))
        return Response(HTTPStatus.OK, {"files": files})

    def _handle_lease(self, request: LeaseRequest, holder: str) -> Response:
        lease, now_us = self._agent.lease, monotonic_us()
        state_before = lease.state()
        if request.renew:
            result = lease.renew(now_us, request.token, holder, request.duration_us)
        else:
            result = lease.acquire(now_us, request.token, holder, request.duration_us, time.time())
        if isinstance(result, LeaseDenied):
            return _denial_response(result)
        if result.record_changed:
            try:
                self._agent.save_token_record()  # must be on disk before the token is sent
            except StoreUnavailableError as error:
                lease.restore(state_before)
                return _unavailable_response(error)
        return _grant_response(result)

    def _handle_release(self, request: ReleaseRequest, holder: str) -> Response:
        lease = self._agent.lease
        state_before = lease.state()
        if lease.release(monotonic_us(), request.token, holder):
            try:
                self._agent.save_token_record()
            except StoreUnavailableError as error:
                # The lease expires, unless the operator releases it again before.
                lease.restore(state_before)
                return _unavailable_response(error)
        return Response(HTTPStatus.OK, {"token": lease.record.token})

    async def _handle_step(self, request: StepRequest, holder: str) -> Response:
        agent = self._agent
        instance = agent.instances.get(request.instance)
        if instance is None:
            return _error_response(
                HTTPStatus.NOT_FOUND, f"instance: there is no {request.instance} here"
            )
        if (outcome := instance.outcome(request.step_id)) is not None:
            return _outcome_response(outcome)
        denied = agent.lease.check(monotonic_us(), request.token, holder)
        if denied is not None:
            return _denial_response(denied)
        try:
            check_files(request.files)
        except StoreError as error:
            return _error_response(HTTPStatus.BAD_REQUEST, str(error))
        if CONFIG_FILE not in request.files:
            return _error_response(
                HTTPStatus.BAD_REQUEST, f"files: expected {CONFIG_FILE} among them"
            )
        try:
            problem = await agent.check_config(request.files)
        except OSError as error:
            return _error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, f"the files can't be checked now: {error}"
            )
        return self._begin_step(instance, request, holder, problem)

    def _begin_step(
        self, instance: ManagedInstance, request: StepRequest, holder: str, config_problem: str
    ) -> Response:
        target = Generation(request.generation, digest_of(request.files))
        step = Step(
            request.step_id, request.token, target, request.base_generation, request.watch_us
        )

        def lease_problem() -> str:  # the lease may have expired since the request arrived
            return self._agent.lease_problem(step.token, holder)

        try:
            instance.begin_step(step, request.files, config_problem, lease_problem)
        except (StepInProgressError, StepNotDurableError) as error:
            return _error_response(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
        except StepConflictError as error:
            return _error_response(HTTPStatus.CONFLICT, str(error))
        if (outcome := instance.outcome(step.step_id)) is not None:
            return _outcome_response(outcome)
        accepted = {"step": step.step_id, "change": instance.durable_record.state.value}
        return Response(HTTPStatus.ACCEPTED, accepted)


def _authorization_problem(identity: Identity, request: Request) -> str | None:
    if identity.kind is not IdentityKind.OPERATOR:
        return f"{identity.kind} {identity.name} is no operator"
    if required_role(request) is Role.WRITE and identity.role is not Role.WRITE:
        return f"operator {identity.name} may read, and not change anything"
    return None


def _error_response(status: HTTPStatus, text: str) -> Response:
    return Response(status, {"error": text})


def _unavailable_response(error: StoreUnavailableError) -> Response:
    """Return the response for a failing disk; the same request may succeed later."""
    return _error_response(HTTPStatus.SERVICE_UNAVAILABLE, str(error))


def _grant_response(granted: LeaseGranted) -> Response:
    body = {"token": granted.token, "length_s": granted.duration_us / US_PER_S}
    return Response(HTTPStatus.OK, body)


def _denial_response(denied: LeaseDenied) -> Response:
    body = {
        "error": denied.reason,
        "token": denied.token,
        "holder": denied.holder,
        "since": denied.granted_at_s,
        "ends_in_s": denied.expires_in_us / US_PER_S,
    }
    return Response(HTTPStatus.CONFLICT, body)


def _outcome_response(outcome: StepOutcome) -> Response:
    body = {
        "step": outcome.step_id,
        "verdict": outcome.verdict.value,
        "reason": outcome.reason,
    }
    return Response(HTTPStatus.OK, body)
