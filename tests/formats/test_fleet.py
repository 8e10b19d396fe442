"""The fleet's protocol as in an earlier release: requests and responses, byte for byte over TLS.

``fixtures/fleet/NAME.request`` and ``.response`` are whole HTTP messages.  The agent's end must
respond to each request, in the order of the table, with the response of the fixture.  The
operator's end must write the request and read the response.
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
from oakbridge.standin.host import SimulatedHost

FIXTURES = Path(__file__).parent / "fixtures" / "fleet"
US_PER_S = 1_000_000
FLEET, AGENT = "bergen", "h1"
WALL_TIME_S = 1_700_000_000.25

FILES = {"oakbridge.toml": 'name = "é"\n', "servers.toml": "# none\n"}
REFUSED_FILES = {"oakbridge.toml": "# plays: refused\n"}
BROKEN_FILES = {"oakbridge.toml": "# broken\n"}
DRAINED_FILES = {**FILES, "drained": "a new disk\n"}
WATCH_US = 600 * US_PER_S


def step(
    step_id: str, instance: str, generation: int, base_generation: int, files=FILES, token: int = 7
) -> messages.StepRequest:
    return messages.StepRequest(
        token, step_id, instance, generation, base_generation, WATCH_US, files
    )


# Fixture, operator, request (None: bytes that FleetClient never sends), status of the response.
TABLE = [
    ("status", "look", messages.StatusRequest(), 200),
    ("fetch", "look", messages.FilesRequest("n1", 2), 200),
    ("fetch-missing", "look", messages.FilesRequest("n1", 9), 404),
    ("lease-acquire", "kari", messages.LeaseRequest(7, 60 * US_PER_S), 200),
    ("lease-acquire-refused", "ola", messages.LeaseRequest(8, 60 * US_PER_S), 409),
    (
        "lease-renew",
        "kari",
        messages.LeaseRequest(7, 90 * US_PER_S + US_PER_S // 2, renew=True),
        200,
    ),
    ("lease-renew-refused", "ola", messages.LeaseRequest(7, 60 * US_PER_S, renew=True), 409),
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
    ("step-refused", "kari", step("rollout-7-n1", "n1", 7, 2, REFUSED_FILES), 200),
    ("step-fails", "kari", step("rollout-8-n1", "n1", 8, 2, BROKEN_FILES), 500),
    ("read-only", "look", messages.ReleaseRequest(7), 403),
    ("lease-release", "kari", messages.ReleaseRequest(7), 200),
    ("path-unknown", "kari", None, 404),
    ("token-wrong", "kari", None, 400),
    ("body-too-long", "kari", None, 413),
]


def read_fixture(name: str, suffix: str) -> bytes:
    return (FIXTURES / f"{name}.{suffix}").read_bytes()


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


def tls_context(authority: Path, name: str):
    return pki.tls_context(authority / "ca.crt", authority / name, server=name == AGENT)


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Read one whole HTTP message, and return its bytes."""
    head = await reader.readuntil(b"\r\n\r\n")
    headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    return head + await reader.readexactly(int(headers.get(b"content-length", b"0")))


def is_broken(config: Path) -> bool:
    return "# broken" in config.read_text("utf-8")


class FailingCheckHost(SimulatedHost):
    """A host whose check of broken files raises an error."""

    async def check_config(self, config: Path) -> str:
        if is_broken(config):
            raise RuntimeError
        return await super().check_config(config)


def make_agent() -> Agent:
    """Return an agent whose instances are settled, new, watched and drained, in ``state``."""
    store = Store(Path("state"))
    one, two, three = (Generation(number, digest_of(FILES)) for number in (1, 2, 3))
    drained = Generation(2, digest_of(DRAINED_FILES))
    outcomes = (
        StepOutcome("rollout-2-n1", Verdict.APPLIED),
        StepOutcome("rollout-1-n1", Verdict.ROLLED_BACK, "exit code 1"),
    )
    step_in_progress = Step("rollout-3-n3", 3, three, 2, WATCH_US)
    records = {
        "n1": InstanceRecord(ChangeState.SETTLED, two, one, None, "", outcomes),
        "n2": InstanceRecord(),
        "n3": InstanceRecord(ChangeState.WATCHING, two, one, step_in_progress),
        "n4": InstanceRecord(ChangeState.SETTLED, drained, one),
    }
    for name, record in records.items():
        member = f"127.0.0.1:794{name[1]}" if name == "n3" else ""
        spec = InstanceSpec((f"127.0.0.1:700{name[1]}",), Path(f"state/{name}.sock"), member)
        store.journal.save_instance(name, spec, record)
    staged = {
        "n1": [(two, FILES)],
        "n3": [(two, FILES), (three, FILES)],
        "n4": [(drained, DRAINED_FILES)],
    }
    for name, generations in staged.items():
        for generation, files in generations:
            store.generations.stage(name, generation, files)
            store.generations.activate(name, generation)
    return Agent(store, AGENT, FLEET, "z1", FailingCheckHost(), poll_interval_s=0.01)


@pytest.fixture
def fixed_environment(monkeypatch, tmp_path):
    """Fix what differs between runs: clocks, process IDs, the version and the folder."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr("time.time", lambda: WALL_TIME_S)
    monkeypatch.setattr("time.monotonic_ns", lambda: 5_000 * US_PER_S * 1000)
    monkeypatch.setattr("os.getpid", lambda: 4242)
    monkeypatch.setattr("oakbridge.standin.host.PIDS", itertools.count(101))
    monkeypatch.setattr("oakbridge.agent.status_codec.__version__", "0.0.1")


def count_running_nodes(agent: Agent) -> int:
    rows = encode_status(agent)["instances"]
    return sum(row["answers"] and row["process"] == "running" for row in rows)


async def exchange(server: AgentServer, authority: Path, operator: str, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(
        *server.address, ssl=tls_context(authority, operator)
    )
    writer.write(request)
    try:
        return await with_timeout(read_message(reader))
    finally:
        writer.transport.abort()


async def exchange_all(authority: Path, requests: list[tuple[str, bytes]]) -> list[bytes]:
    """Send requests to an agent, one after another, and return its responses."""
    agent = make_agent()
    server = AgentServer(tls_context(authority, AGENT), FLEET, OperatorApi(agent).handle)
    await server.start(("127.0.0.1", 0))
    agent.start()
    try:
        await until(lambda: count_running_nodes(agent) == 2)
        return [
            await exchange(server, authority, operator, request) for operator, request in requests
        ]
    finally:
        server.close()
        agent.stop()


@pytest.mark.usefixtures("fixed_environment")
def test_agent_responds_to_each_request_with_the_same_bytes(authority):
    async def scenario():
        responses = await exchange_all(
            authority, [(operator, read_fixture(name, "request")) for name, operator, _, _ in TABLE]
        )
        for (name, _, _, status), response in zip(TABLE, responses, strict=True):
            assert response == read_fixture(name, "response"), name
            assert response.startswith(b"HTTP/1.1 %d " % status), name

    run(scenario())


@pytest.mark.parametrize(
    ("name", "operator", "request_", "status"),
    [pytest.param(*row, id=row[0]) for row in TABLE if row[2] is not None],
)
def test_operator_writes_each_request_and_reads_its_response(
    authority, name, operator, request_, status
):
    async def scenario():
        written = []

        async def serve(reader, writer):
            written.append(await read_message(reader))
            writer.write(read_fixture(name, "response"))
            await writer.drain()

        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, ssl=tls_context(authority, AGENT)
        )
        address = server.sockets[0].getsockname()[:2]
        client = FleetClient(
            Inventory(FLEET, {AGENT: address}), tls_context(authority, operator), name=operator
        )
        response = await with_timeout(client.call(AGENT, request_))
        body = read_fixture(name, "response").split(b"\r\n\r\n", 1)[1]
        assert (response.agent, response.status, response.error) == (AGENT, status, "")
        assert response.body == json.loads(body)
        assert written == [read_fixture(name, "request")]
        client.close()
        server.close()

    run(scenario())
