"""The fleet's protocol as before the renames: requests and answers, byte for byte over TLS.

``fixtures/fleet/NAME.request`` and ``.response`` are whole HTTP messages.  The agent's end is sent
each request in the order of the table and gives the response; the operator's end writes the request
and reads the response.
"""

import asyncio
import itertools
import json
from pathlib import Path

import pytest
from peers import run, until, with_timeout

from oakbridge.agent.agent import Agent
from oakbridge.agent.generations import digest_of
from oakbridge.agent.operator_api import OperatorApi
from oakbridge.agent.records import (
    ChangeState,
    Generation,
    InstanceRecord,
    InstanceSpec,
    Step,
    StepOutcome,
    Verdict,
)
from oakbridge.agent.status_codec import encode_status
from oakbridge.agent.store import Store
from oakbridge.fleet import messages, pki
from oakbridge.fleet.client import FleetClient
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory
from oakbridge.fleet.server import AgentServer
from oakbridge.standin.host import PlayedHost

FIXTURES = Path(__file__).parent / "fixtures" / "fleet"
SECOND = 1_000_000
FLEET, AGENT = "bergen", "h1"
WALL = 1_700_000_000.25

FILES = {"oakbridge.toml": 'name = "é"\n', "servers.toml": "# none\n"}
REFUSED = {"oakbridge.toml": "# plays: refused\n"}
BROKEN = {"oakbridge.toml": "# broken\n"}
DRAINED = {**FILES, "drained": "a new disk\n"}
WATCH = 600 * SECOND


def step(
    name: str, instance: str, number: int, base: int, files=FILES, token: int = 7
) -> messages.StepRequest:
    return messages.StepRequest(token, name, instance, number, base, WATCH, files)


# Name, who asks, the request (None: bytes that no client of ours sends), the answer's status.
TABLE = [
    ("status", "look", messages.StatusRequest(), 200),
    ("fetch", "look", messages.FilesRequest("n1", 2), 200),
    ("fetch-missing", "look", messages.FilesRequest("n1", 9), 404),
    ("lease-acquire", "kari", messages.LeaseRequest(7, 60 * SECOND), 200),
    ("lease-acquire-refused", "ola", messages.LeaseRequest(8, 60 * SECOND), 409),
    ("lease-renew", "kari", messages.LeaseRequest(7, 90 * SECOND + SECOND // 2, renew=True), 200),
    ("lease-renew-refused", "ola", messages.LeaseRequest(7, 60 * SECOND, renew=True), 409),
    ("step-ended", "kari", step("rollout-2-n1", "n1", 2, 1), 200),
    ("step-begun", "kari", step("rollout-7-n2", "n2", 7, 0), 202),
    ("step-again", "kari", step("rollout-7-n2", "n2", 7, 0), 202),
    ("step-under-way", "kari", step("rollout-8-n2", "n2", 8, 0), 503),
    ("step-other-base", "kari", step("rollout-7-n1", "n1", 7, 1), 409),
    ("step-not-newer", "kari", step("rollout-0-n1", "n1", 1, 2), 409),
    ("step-old-token", "kari", step("rollout-6-n1", "n1", 6, 2, token=6), 409),
    ("step-no-instance", "kari", step("rollout-7-n9", "n9", 7, 0), 404),
    ("step-no-config", "kari", step("rollout-7-n1", "n1", 7, 2, {"servers.toml": ""}), 400),
    ("step-file-name", "kari", step("rollout-7-n1", "n1", 7, 2, {"../x": ""}), 400),
    ("step-refused", "kari", step("rollout-7-n1", "n1", 7, 2, REFUSED), 200),
    ("step-fails", "kari", step("rollout-8-n1", "n1", 8, 2, BROKEN), 500),
    ("read-only", "look", messages.ReleaseRequest(7), 403),
    ("lease-release", "kari", messages.ReleaseRequest(7), 200),
    ("path-unknown", "kari", None, 404),
    ("token-wrong", "kari", None, 400),
    ("body-too-long", "kari", None, 413),
]


def fixture(name: str, kind: str) -> bytes:
    return (FIXTURES / f"{name}.{kind}").read_bytes()


@pytest.fixture(scope="module")
def authority(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    pki.create_authority(folder, FLEET)
    pki.issue_certificate(
        folder, Identity(FLEET, IdentityKind.AGENT, AGENT, Role.READ), folder / AGENT
    )
    for name, role in (("kari", Role.WRITE), ("ola", Role.WRITE), ("look", Role.READ)):
        pki.issue_certificate(
            folder, Identity(FLEET, IdentityKind.OPERATOR, name, role), folder / name
        )
    return folder


def tls(authority: Path, who: str):
    return pki.tls_context(authority / "ca.crt", authority / who, server=who == AGENT)


async def message(reader: asyncio.StreamReader) -> bytes:
    """One whole HTTP message, as it is on the wire."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    return head + await reader.readexactly(int(lines.get(b"content-length", b"0")))


def is_broken(config: Path) -> bool:
    return "# broken" in config.read_text("utf-8")


class Host(PlayedHost):
    async def check_config(self, config: Path) -> str:
        if is_broken(config):
            raise RuntimeError
        return await super().check_config(config)


def make_agent() -> Agent:
    """An agent with an instance of each kind, in a folder that is told by a relative path."""
    store = Store(Path("state"))
    one, two, three = (Generation(n, digest_of(FILES)) for n in (1, 2, 3))
    off = Generation(2, digest_of(DRAINED))
    ended = (
        StepOutcome("rollout-2-n1", Verdict.APPLIED),
        StepOutcome("rollout-1-n1", Verdict.ROLLED_BACK, "exit code 1"),
    )
    watched = Step("rollout-3-n3", 3, three, 2, WATCH)
    records = {
        "n1": InstanceRecord(ChangeState.SETTLED, two, one, None, "", ended),
        "n2": InstanceRecord(),
        "n3": InstanceRecord(ChangeState.WATCHING, two, one, watched),
        "n4": InstanceRecord(ChangeState.SETTLED, off, one),
    }
    for name, record in records.items():
        member = f"127.0.0.1:794{name[1]}" if name == "n3" else ""
        spec = InstanceSpec((f"127.0.0.1:700{name[1]}",), Path(f"state/{name}.sock"), member)
        store.journal.save_instance(name, spec, record)
    shown = {"n1": [(two, FILES)], "n3": [(two, FILES), (three, FILES)], "n4": [(off, DRAINED)]}
    for name, generations in shown.items():
        for generation, files in generations:
            store.generations.stage(name, generation, files)
            store.generations.activate(name, generation)
    return Agent(store, AGENT, FLEET, "z1", Host(), poll_interval_s=0.01)


@pytest.fixture
def still(monkeypatch, tmp_path):
    """All that differs from run to run stands still: clocks, processes, version, folder."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr("time.time", lambda: WALL)
    monkeypatch.setattr("time.monotonic_ns", lambda: 5_000 * SECOND * 1000)
    monkeypatch.setattr("os.getpid", lambda: 4242)
    monkeypatch.setattr("oakbridge.standin.host.PIDS", itertools.count(101))
    monkeypatch.setattr("oakbridge.agent.status_codec.__version__", "0.0.1")


def nodes_that_run(agent: Agent) -> int:
    rows = encode_status(agent)["instances"]
    return sum(row["answers"] and row["process"] == "running" for row in rows)


async def exchange(server: AgentServer, authority: Path, who: str, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*server.address, ssl=tls(authority, who))
    writer.write(request)
    try:
        return await with_timeout(message(reader))
    finally:
        writer.transport.abort()


async def play(authority: Path, requests: list[tuple[str, bytes]]) -> list[bytes]:
    """What an agent answers to these, one after another."""
    agent = make_agent()
    server = AgentServer(tls(authority, AGENT), FLEET, OperatorApi(agent).handle)
    await server.start(("127.0.0.1", 0))
    agent.start()
    try:
        await until(lambda: nodes_that_run(agent) == 2)
        return [await exchange(server, authority, who, request) for who, request in requests]
    finally:
        server.close()
        agent.stop()


@pytest.mark.usefixtures("still")
def test_an_agent_answers_each_request_with_the_same_bytes(authority):
    async def scenario():
        answers = await play(
            authority, [(who, fixture(name, "request")) for name, who, _, _ in TABLE]
        )
        for (name, _, _, status), answer in zip(TABLE, answers, strict=True):
            assert answer == fixture(name, "response"), name
            assert answer.startswith(b"HTTP/1.1 %d " % status), name

    run(scenario())


@pytest.mark.parametrize(
    ("name", "who", "request_", "status"),
    [pytest.param(*row, id=row[0]) for row in TABLE if row[2] is not None],
)
def test_an_operator_writes_each_request_and_reads_its_answer(
    authority, name, who, request_, status
):
    async def scenario():
        written = []

        async def serve(reader, writer):
            written.append(await message(reader))
            writer.write(fixture(name, "response"))
            await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=tls(authority, AGENT))
        address = server.sockets[0].getsockname()[:2]
        operator = FleetClient(Inventory(FLEET, {AGENT: address}), tls(authority, who), name=who)
        heard = await with_timeout(operator.call(AGENT, request_))
        body = fixture(name, "response").split(b"\r\n\r\n", 1)[1]
        assert (heard.agent, heard.status, heard.error) == (AGENT, status, "")
        assert heard.body == json.loads(body)
        assert written == [fixture(name, "request")]
        operator.close()
        server.close()

    run(scenario())
