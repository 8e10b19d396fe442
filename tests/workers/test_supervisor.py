"""Worker processes under load that are killed, restarted, reloaded or frozen.

Only a killed worker's requests get no response, and no request runs twice.
"""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from peers import REQUEST_IDS, free_ports, run, with_timeout

from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError
from oakbridge.control.protocol import ControlCommand
from oakbridge.standin.behaviour import Behaviour
from oakbridge.standin.server import StandInServer

CONFIG = """
[node]
name = "n"
listen = ["127.0.0.1:{port}"]
workers = {workers}
[servers]
inline = [{servers}]
[[class]]
name = "look"
aim = "4s"
deadline = "10s"
repeat = "unsafe"
[control]
socket = "{socket}"
"""
SERVE = [sys.executable, "-m", "oakbridge.cli", "serve", "--config"]
CONTROL_TIMEOUT_S = 10
POLL_INTERVAL_S = 0.02
TEST_TIMEOUT_S = 120
REQUESTS_PER_CONNECTION = 10


class Deployment:
    """A supervisor process with its workers, stand-in servers, and clients that send requests."""

    def __init__(self, directory: Path, workers: int = 4):
        self.directory = directory
        self.workers = workers
        self.socket = directory / "n.sock"
        (self.port,) = free_ports(1)
        self.servers = [
            StandInServer(f"s{i}", Behaviour(latency=0.002, slots=1000), i) for i in range(3)
        ]
        self.status_codes: list[int] = []  # of the received responses
        self.requests_without_response = 0  # because their connection closed

    async def __aenter__(self):
        for server in self.servers:
            await server.start()
        config = self.directory / "n.toml"
        config.write_text(self.config_text())
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(*SERVE, str(config), stderr=log)
        await self.wait_for_status(lambda status: count_ready(status) == self.workers)
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.terminate()
            await with_timeout(self.process.wait())
        for server in self.servers:
            server.stop()

    @property
    def log_path(self):
        return self.directory / "log"

    def config_text(self):
        rows = ", ".join(
            f'{{name = "{server.name}", address = "127.0.0.1:{server.address[1]}"}}'
            for server in self.servers
        )
        return CONFIG.format(port=self.port, workers=self.workers, servers=rows, socket=self.socket)

    def status(self):
        with ControlClient(self.socket, CONTROL_TIMEOUT_S) as client:
            return client.request(ControlCommand.STATUS)

    async def wait_for_status(self, condition):
        """Return the first status that meets a condition; fail if the supervisor has exited."""
        while True:
            try:
                status = await asyncio.to_thread(self.status)
                if condition(status):
                    return status
            except NodeUnreachableError:
                assert self.process.returncode is None, self.log_path.read_text()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def connect(self):
        """Open a connection; the test fails if it is refused."""
        return await with_timeout(asyncio.open_connection("127.0.0.1", self.port))

    async def send_requests(self, stop: asyncio.Event):
        """Send some requests on each connection, then open a new one, until ``stop`` is set."""
        while not stop.is_set():
            reader, writer = await self.connect()
            for _ in range(REQUESTS_PER_CONNECTION):
                response = await send_request(reader, writer)
                if response is None:
                    self.requests_without_response += 1
                    break
                status_code, is_last_response = response
                self.status_codes.append(status_code)
                if is_last_response or stop.is_set():
                    break
            writer.close()

    async def run_under_load(self, scenario, client_count=24):
        """Run a scenario while clients send requests."""
        stop = asyncio.Event()
        tasks = [asyncio.create_task(self.send_requests(stop)) for _ in range(client_count)]
        try:
            await scenario
        finally:
            stop.set()
            await with_timeout(asyncio.gather(*tasks))

    async def wait_for_responses(self, count):
        """Wait until the clients have received this number of further responses."""
        expected = len(self.status_codes) + count
        while len(self.status_codes) < expected:
            await asyncio.sleep(0.01)

    def requests_served(self):
        """Return the number of requests that the servers have served."""
        return sum(server.responses[200] for server in self.servers)


async def send_request(reader, writer):
    """Return the status code and whether the node closes the connection; None without response."""
    writer.write(
        b"GET /x HTTP/1.1\r\nx-request-id: %x\r\nx-priority-class: look\r\n\r\n" % next(REQUEST_IDS)
    )
    try:
        head = (await with_timeout(reader.readuntil(b"\r\n\r\n"))).lower()
        body_bytes = next(
            int(line.split(b":")[1]) for line in head.split(b"\r\n") if b"content-length" in line
        )
        await with_timeout(reader.readexactly(body_bytes))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head[9:12]), b"connection: close" in head


def count_ready(status):
    return sum(worker.get("ready", False) for worker in status["workers"])


def pids_of(status):
    return [worker["pid"] for worker in status["workers"]]


def test_killed_and_frozen_workers_lose_only_the_requests_that_they_had_begun(tmp_path):
    client_count = 24
    # An equal share of the clients, and some that connect while another worker does not run.
    connections_per_worker = client_count // 4 + 2

    async def kill_workers(deployment):
        for index in range(4):
            await deployment.wait_for_responses(100)
            status = await deployment.wait_for_status(lambda status: count_ready(status) == 4)
            pid = status["workers"][index]["pid"]
            if index == 2:
                # The worker is killed during a reload.
                deployment.process.send_signal(signal.SIGHUP)
            os.kill(pid, signal.SIGKILL)
            await deployment.wait_for_status(
                lambda status, index=index, pid=pid: status["workers"][index].get("pid", pid) != pid
            )
        frozen_pid = deployment.status()["workers"][0]["pid"]
        os.kill(frozen_pid, signal.SIGSTOP)
        # The frozen worker's clients wait; the other clients receive responses.
        await deployment.wait_for_responses(200)
        os.kill(frozen_pid, signal.SIGKILL)

    async def scenario():
        async with Deployment(tmp_path) as deployment:
            await deployment.run_under_load(kill_workers(deployment), client_count)
            assert set(deployment.status_codes) == {200}
            # Five killed processes lose one request per connection at most.
            assert deployment.requests_without_response <= 5 * connections_per_worker
            # The requests are not idempotent, so none may run twice.
            assert (
                deployment.requests_served()
                <= len(deployment.status_codes) + deployment.requests_without_response
            )
            assert deployment.status()["crashes"].keys() == {"1", "2", "3", "4"}

    run(scenario(), TEST_TIMEOUT_S)


def test_rolling_restart_and_shutdown_lose_no_request(tmp_path):
    async def restart_workers(deployment):
        await deployment.wait_for_responses(50)
        pids_before = set(pids_of(deployment.status()))
        deployment.process.send_signal(signal.SIGUSR1)

        def all_restarted(status):
            return all(
                worker.get("ready") and worker["pid"] not in pids_before
                for worker in status["workers"]
            )

        await deployment.wait_for_status(all_restarted)
        await deployment.wait_for_responses(50)

    async def shut_down_with_requests_in_flight(deployment):
        await deployment.wait_for_status(
            lambda status: status["callers"] == 0 and sum(status["handed"].values()) == 0
        )
        connections = [await deployment.connect() for _ in range(6)]
        status = await deployment.wait_for_status(lambda status: status["callers"] == 6)
        # A small number of long-lived connections is spread evenly too.
        assert sorted(worker["callers"] for worker in status["workers"]) == [3, 3]
        requests = [asyncio.create_task(send_request(*connection)) for connection in connections]
        await asyncio.sleep(0)
        deployment.process.terminate()
        assert [(await with_timeout(request))[0] for request in requests] == [200] * 6
        assert await with_timeout(deployment.process.wait()) == 0
        assert not list(tmp_path.glob("*.sock"))

    async def scenario():
        async with Deployment(tmp_path, workers=2) as deployment:
            await deployment.run_under_load(restart_workers(deployment), client_count=8)
            assert set(deployment.status_codes) == {200}
            assert deployment.requests_without_response == 0
            assert deployment.requests_served() == len(deployment.status_codes)
            await shut_down_with_requests_in_flight(deployment)

    run(scenario(), TEST_TIMEOUT_S)


def test_workers_shut_down_if_their_supervisor_is_killed(tmp_path):
    async def scenario():
        async with Deployment(tmp_path, workers=2) as deployment:
            pids = pids_of(deployment.status())
            reader, writer = await deployment.connect()
            assert (await send_request(reader, writer))[0] == 200
            deployment.process.kill()
            await with_timeout(deployment.process.wait())
            # The worker still serves its open connections.
            assert (await send_request(reader, writer))[0] == 200
            writer.close()
            while any(is_running(pid) for pid in pids):
                await asyncio.sleep(0.05)

    run(scenario(), 60)


def is_running(pid):
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except OSError:
        return False
    return state != "Z"


@pytest.mark.parametrize(
    ("workers", "error_text"),
    [
        (40, "limits.sockets: expected at least 5120 for 40 workers"),
        (65, "node.workers"),
    ],
)
def test_invalid_number_of_workers_is_a_usage_error(tmp_path, workers, error_text):
    path = tmp_path / "n.toml"
    path.write_text(
        CONFIG.format(
            port=free_ports(1)[0],
            workers=workers,
            servers='{name = "a", address = "127.0.0.1:1"}',
            socket=tmp_path / "n.sock",
        )
    )
    process = subprocess.run(
        [*SERVE, str(path)], capture_output=True, text=True, timeout=60, check=False
    )
    assert process.returncode == 2
    assert error_text in process.stderr
    assert str(path) in process.stderr
    assert "Traceback" not in process.stderr
