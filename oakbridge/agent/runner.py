"""The agent's shell: instances with their processes, and answers to what operators ask.  It decides nothing."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import os
import shutil
import signal
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from oakbridge import __version__
from oakbridge.agent import instance as m
from oakbridge.agent import process
from oakbridge.agent.changer import Changer
from oakbridge.agent.host import Host, Launch, Running
from oakbridge.agent.lease import Granted, Lease, Refused
from oakbridge.agent.store import Store, StoreError, check_files, check_name, digest_of
from oakbridge.control import protocol
from oakbridge.fleet import codec, messages
from oakbridge.fleet.identity import Identity, Role
from oakbridge.process import supervisor as sup

log = logging.getLogger(__name__)

CONFIG = "oakbridge.toml"  # the file of a generation that a node is started with
DRAINED = "drained"  # a generation with a file of this name is one whose node does not run
LOOK_S = 0.5  # how often a node is asked how it is
SILENT_S = 2.0  # a node that does not answer for so long is silent


def now_us() -> int:
    """The machine's clock: it goes on while processes are frozen, and never jumps."""
    return time.monotonic_ns() // 1000


class Managed:
    """One instance on this host."""

    def __init__(self, agent: Agent, name: str, spec: dict[str, Any], record: m.Record) -> None:
        self.agent, self.name, self.spec = agent, name, spec
        self.machine = m.Instance(record)
        self.supervisor = sup.Supervisor()
        self.changer = Changer(agent.store, name, self.machine, lambda _: self._verdict, self.run, self.wake)
        self.process: Running | None = None
        self.told: dict[str, Any] = {}  # what the node said last
        self.heard = 0.0  # when, Unix time
        self.running = 0  # the generation that the process was started with; 0: not known
        self._verdict = ""
        self._timers: set[asyncio.TimerHandle] = set()
        self._looking: asyncio.Task[None] | None = None
        self.control = Path(spec["control"])
        address = spec.get("member", "")
        self.member = (f"{agent.name}/{name}", address) if address else None  # among members

    @property
    def log(self) -> Path:
        """The node's log."""
        return self.agent.store.current(self.name).parent / "node.log"

    @property
    def drained(self) -> bool:
        """Whether what the link shows says that the node should not run."""
        return (self.agent.store.current(self.name) / DRAINED).exists()

    def begin(self) -> None:
        """Find the node if it runs already, then go on where the journal stands."""
        self._adopt()
        self._carry(self.machine.recover(now_us()))
        self._looking = asyncio.get_running_loop().create_task(self._look())

    def end(self) -> None:
        """Leave the node as it is."""
        if self._looking is not None:
            self._looking.cancel()
        for timer in self._timers:
            timer.cancel()
        if self.process is not None:
            self.process.leave()

    def _adopt(self) -> None:
        self.process = self.agent.host.find(self.control, self._ended)
        if self.process is None:
            return
        log.info("%s: found running as process %d", self.name, self.process.pid)
        self.supervisor.state, self.supervisor.wanted = sup.State.RUNNING, True

    # ---- the machine's side

    def order(self, step: m.Step, holder: str, files: dict[str, str], verdict: str) -> None:
        """Begin a step whose files have been checked.  Raises :class:`m.Busy`."""
        self._verdict = verdict
        self.changer.order(now_us(), step, files, lambda: self.agent.lease_problem(step.token, holder))

    def _carry(self, actions: list[m.Action]) -> None:
        if actions:
            self.changer.carry_out(now_us(), actions)

    def run(self, target: m.Generation) -> None:
        """Have the process run a generation: it is started anew unless it runs it already."""
        if target.digest == m.NOTHING or self.drained:
            self._do(self.supervisor.stop(now_us()))
            asyncio.get_running_loop().call_soon(self._stopped)  # it may have been stopped before
        elif self.running == target.number and self.supervisor.state is sup.State.RUNNING:
            self._do(self.supervisor.start(now_us()))
        elif self.process is not None and self.running == 0 and self.machine.state is m.State.SETTLED:
            self.running = target.number  # found running: what it runs is looked at as soon as it answers
        else:
            self._do(self.supervisor.restart(now_us()))

    def wake(self, at: int) -> None:
        """Call the machine's tick at a time."""
        self._later(at, lambda: self._carry(self.machine.tick(now_us())))

    def _later(self, at: int, what: Any) -> None:
        def due() -> None:
            self._timers.discard(timer)
            try:
                what()
            except Exception:  # contained: one instance's fault is its own
                log.exception("%s: a timer failed", self.name)

        timer = asyncio.get_running_loop().call_later(max(0, at - now_us()) / 1e6, due)
        self._timers.add(timer)

    # ---- the process' side

    def _do(self, actions: list[sup.Action]) -> None:
        for action in actions:
            if isinstance(action, sup.Start):
                self._start()
            elif isinstance(action, sup.Wake):
                self._later(action.at, lambda: self._do(self.supervisor.tick(now_us())))
            elif self.process is not None:
                self.process.send(signal.SIGTERM if isinstance(action, sup.Stop) else signal.SIGKILL)

    def _start(self) -> None:
        self.told = {}
        self.running = self.agent.store.shown(self.name)
        try:
            config = self.agent.store.current(self.name) / CONFIG
            launch = Launch(config, self.name, self.spec["listen"], self.control, self.log, self.member)
            self.process = self.agent.host.start(launch, self._ended)
        except OSError as e:
            asyncio.get_running_loop().call_soon(self._ended, f"it could not be started: {e}")

    def _ended(self, how: str) -> None:
        self.process, self.told = None, {}
        asked = self.supervisor.state is sup.State.STOPPING
        if not asked:
            how = f"{how}: {self.agent.host.last_words(self.log)}".removesuffix(": ")
            log.warning("%s ended: %s", self.name, how)
        self._do(self.supervisor.exited(now_us(), how))
        if not asked:
            self._carry(self.machine.failed(now_us(), how))
        self._stopped()

    def _stopped(self) -> None:
        """A drained instance is as it should be once its node has ended."""
        if self.drained and self.supervisor.state is sup.State.STOPPED:
            self._carry(self.machine.ready(now_us()))

    async def _look(self) -> None:
        """Ask the node how it is, again and again."""
        while True:
            await asyncio.sleep(self.agent.look_s)
            try:
                async with asyncio.timeout(SILENT_S):
                    told = await self.agent.host.ask(self.control, "status", rows=0)
            except (OSError, TimeoutError, EOFError, ValueError, protocol.Refusal):
                self.told = {}
                continue
            self.told, self.heard = told, time.time()
            self._judge(told)

    def _judge(self, told: dict[str, Any]) -> None:
        """Pass on what the node says of itself."""
        if self.process is None or told.get("pid") != self.process.pid:
            return
        if self.supervisor.state not in (sup.State.STARTING, sup.State.RUNNING):
            return  # the old process, on its way out, is no news of the new one
        source = told.get("source", {})
        if source.get("refused") or source.get("held"):
            word = "refused" if source.get("refused") else "held"
            self._carry(self.machine.failed(now_us(), f"its server file is {word}"))
        elif self.machine.state in (m.State.SETTLED, m.State.WATCHING) and not self._proven(told):
            log.warning("%s: it runs another configuration than it should, and is started anew", self.name)
            self._do(self.supervisor.restart(now_us()))
        elif told.get("ready"):
            self._do(self.supervisor.ready(now_us()))
            self._carry(self.machine.ready(now_us()))

    def _proven(self, told: dict[str, Any]) -> bool:
        """Whether the node runs what the link shows; what it was started with counts, not what we think it was."""
        shown = self.agent.store.current(self.name) / CONFIG
        try:
            return bool(told.get("config_digest") == hashlib.sha256(shown.read_bytes()).hexdigest())
        except OSError:
            return False

    def describe(self) -> dict[str, Any]:
        """All that is known of it."""
        r, s = self.machine.record, self.supervisor
        told = self.told
        return {
            "name": self.name,
            "listen": self.spec["listen"],
            "member": self.spec.get("member", ""),
            "generation": r.current.number,
            "digest": r.current.digest,
            "previous": r.previous.number,
            "drained": self.drained,
            "change": r.state.value,
            "step": None if r.step is None else {"id": r.step.id, "target": r.step.target.number},
            "outcomes": [[o.step, o.verdict.value, o.reason] for o in r.outcomes],
            "process": s.state.value,
            "pid": self.process.pid if self.process is not None else None,
            "runs": self.running,
            "crashes": s.total_crashes,
            "crash_loop": s.crash_loop,
            "last_exit": s.last_exit,
            "answers": bool(told),
            "heard": self.heard,
            "node": told,
        }


class Agent:
    """All instances of one host, and who may change them."""

    def __init__(
        self, store: Store, name: str, fleet: str, zone: str = "", host: Host | None = None,
        look_s: float = LOOK_S,
    ) -> None:  # fmt: skip
        """``host``: the machine with its processes, else this one; ``look_s``: how often nodes are asked."""
        self.look_s = look_s
        self.store, self.name, self.fleet, self.zone = store, name, fleet, zone
        self.host: Host = host or process.LocalHost()
        self.lease = Lease(store.promise(), now_us())
        self.managed: dict[str, Managed] = {}
        self._checks = asyncio.Semaphore(2)

    def begin(self) -> None:
        """Go on with all instances, as the journal has them."""
        for name in self.store.instances():
            self.managed |= self.spawn(name)

    def end(self) -> None:
        """Leave all nodes as they are."""
        for managed in self.managed.values():
            managed.end()
        self.store.close()

    def add(self, name: str, listen: list[str], control: Path, member: str = "") -> None:
        """Have one more instance; it runs nothing until a step gives it a generation.

        ``member``: its address among members, where its configuration makes it one; its name is ``AGENT/INSTANCE``.
        """
        spec = {"listen": listen, "control": str(control)} | ({"member": member} if member else {})
        if name not in self.store.instances():
            self.store.keep_instance(check_name(name, "instance"), spec, m.Record())

    def spawn(self, name: str) -> dict[str, Managed]:
        """Run an instance that was added while the agent runs."""
        spec, record = self.store.instances()[name]
        managed = Managed(self, name, spec, record)
        managed.begin()
        return {name: managed}

    def lease_problem(self, token: int, holder: str) -> str:
        """Why a step with this token may not go on; "" if it may."""
        refused = self.lease.check(now_us(), token, holder)
        return "" if refused is None else refused.reason

    # ---- answers

    async def answer(self, who: Identity, method: str, path: str, body: bytes) -> messages.Response:
        """Answer one request of somebody whose certificate is of this fleet."""
        request = codec.decode_request(method, path, body)
        if request is None:
            return messages.Response(404, {"error": f"path: nothing at {method} {path[:100]}"})
        if who.kind != "operator":
            return messages.Response(403, {"error": f"{who.kind} {who.name} is no operator"})
        if messages.required_role(request) == Role.WRITE and who.role != Role.WRITE:
            return messages.Response(403, {"error": f"operator {who.name} may read, and not change anything"})
        if isinstance(request, messages.StatusRequest):
            return messages.Response(200, self.describe())
        if isinstance(request, messages.FilesRequest):
            return self._fetch(request)
        if isinstance(request, messages.LeaseRequest):
            return self._acquire(request, who.name)
        if isinstance(request, messages.ReleaseRequest):
            if self.lease.release(now_us(), request.token, who.name):
                self.store.keep_promise(self.lease.promise)
            return messages.Response(200, {"token": self.lease.promise.token})
        return await self._step(request, who.name)

    def describe(self) -> messages.JsonObject:
        """All that the agent knows."""
        promise = self.lease.promise
        return {
            "agent": self.name,
            "fleet": self.fleet,
            "zone": self.zone,
            "version": __version__,
            "pid": os.getpid(),
            "time": time.time(),
            "lease": {**asdict(promise), "alive": self.lease.alive(now_us())},
            "instances": [managed.describe() for managed in self.managed.values()],
        }

    def _fetch(self, request: messages.FilesRequest) -> messages.Response:
        try:
            return messages.Response(
                200, {"files": self.store.read(request.instance, m.Generation(request.generation))}
            )
        except StoreError as e:
            return messages.Response(404, {"error": str(e)})

    def _acquire(self, request: messages.LeaseRequest, holder: str) -> messages.Response:
        now = now_us()
        if request.renew:
            got = self.lease.renew(now, request.token, holder, request.duration_us)
        else:
            got = self.lease.acquire(now, request.token, holder, request.duration_us, time.time())
        if isinstance(got, Granted):
            if got.changed:
                self.store.keep_promise(self.lease.promise)  # before it is told
            return messages.Response(200, {"token": got.token, "length_s": got.length / 1e6})
        return messages.Response(409, self._refusal(got))

    @staticmethod
    def _refusal(got: Refused) -> messages.JsonObject:
        return {
            "error": got.reason, "token": got.token, "holder": got.holder, "since": got.since,
            "ends_in_s": got.ends_in / 1e6,
        }  # fmt: skip

    async def _step(self, order: messages.StepRequest, holder: str) -> messages.Response:
        managed = self.managed.get(order.instance)
        if managed is None:
            return messages.Response(404, {"error": f"instance: there is no {order.instance} here"})
        if (ended := managed.machine.outcome(order.step_id)) is not None:
            return messages.Response(
                200, {"step": ended.step, "verdict": ended.verdict.value, "reason": ended.reason}
            )
        if (refused := self.lease.check(now_us(), order.token, holder)) is not None:
            return messages.Response(409, self._refusal(refused))
        try:
            check_files(order.files)
        except StoreError as e:
            return messages.Response(400, {"error": str(e)})
        if CONFIG not in order.files:
            return messages.Response(400, {"error": f"files: expected {CONFIG} among them"})
        target = m.Generation(order.generation, digest_of(order.files))
        step = m.Step(order.step_id, order.token, target, order.base_generation, order.watch_us)
        async with self._checks:
            verdict = await self._check(order.files)
        try:
            # The lease may have ended meanwhile: the machine asks once more, just before the flip.
            managed.order(step, holder, order.files, verdict)
        except m.Busy as e:
            return messages.Response(503 if isinstance(e, m.UnderWay) else 409, {"error": str(e)})
        ended = managed.machine.outcome(order.step_id)
        if ended is not None:
            return messages.Response(
                200, {"step": ended.step, "verdict": ended.verdict.value, "reason": ended.reason}
            )
        return messages.Response(202, {"step": order.step_id, "change": managed.machine.state.value})

    async def _check(self, files: dict[str, str]) -> str:
        """What the node's own checker says against these files."""
        folder = Path(tempfile.mkdtemp(prefix="check-", dir=self.store.folder))
        try:
            for name, text in files.items():
                (folder / name).write_text(text, "utf-8")
            said = await self.host.check(folder / CONFIG)
            return said.replace(f"{folder}/", "")
        finally:
            shutil.rmtree(folder, ignore_errors=True)
