"""Ids of requests belong to the node: none is served again by its other process."""

import signal

import pytest
from peers import ScriptedServer, reply, run, until, with_timeout
from processes import NodeProcesses


class HoldingServer(ScriptedServer):
    """Holds the responses to requests for /held back until it is released."""

    def __init__(self) -> None:
        super().__init__(lambda r: self._respond_later() if r.url == "/held" else reply(200))

    async def _respond_later(self) -> bytes:
        await self.release.wait()
        return reply(200, b"held")

    def runs(self) -> list[str]:
        """Return the ids of the requests that arrived since the last call."""
        return [
            self.requests.get_nowait().headers["x-request-id"] for _ in range(self.requests.qsize())
        ]


async def send_book(node, request_id: str, url: str = "/api"):
    """Send an unsafe request with this id on a new connection; return its client."""
    client = await node.connect_client()
    client.send("book", "POST", url, b"x", X_Request_ID=request_id)
    return client


async def status_of_book(node, request_id: str) -> int:
    return (await (await send_book(node, request_id)).read_response())[0]


async def status_of_look(node, request_id: str) -> int:
    client = await node.connect_client()
    client.send(X_Request_ID=request_id)
    return (await client.read_response())[0]


# Guards against an id of an open request that runs again at the other process of an upgrade.
def test_id_that_is_open_or_has_run_at_predecessor_is_rejected_by_successor(tmp_path):
    async def scenario():
        async with HoldingServer() as server, NodeProcesses(tmp_path, server) as node:
            predecessor = await node.start_and_wait()
            assert await status_of_book(node, "served-before") == 200
            held = await send_book(node, "held-1", "/held")
            await until(lambda: server.requests.qsize() == 2)
            await node.start_and_wait()
            predecessor.send_signal(signal.SIGTERM)
            assert await status_of_book(node, "served-before") == 409
            assert await status_of_book(node, "held-1") == 409
            server.release.set()
            assert (await held.read_response())[0] == 200
            assert await with_timeout(predecessor.wait()) == 0
            assert await status_of_book(node, "held-1") == 409
            assert server.runs() == ["served-before", "held-1"]
            assert await status_of_book(node, "new") == 200

    run(scenario())


# Guards against the same in the other direction: the predecessor finishes what its clients have sent.
def test_id_that_has_run_at_successor_is_rejected_by_predecessor(tmp_path):
    async def scenario():
        async with HoldingServer() as server, NodeProcesses(tmp_path, server) as node:
            await node.start_and_wait()
            held = await send_book(node, "held-1", "/held")
            await until(lambda: server.requests.qsize() == 1)
            # This connection stays at the predecessor, as the request behind the held one was read.
            held.send("book", "POST", body=b"x", X_Request_ID="twice")
            await node.start_and_wait()
            assert await status_of_book(node, "twice") == 200
            server.release.set()
            assert (await held.read_response())[0] == 200
            assert (await held.read_response())[0] == 409
            assert server.runs() == ["held-1", "twice"]

    run(scenario())


# Guards against ids that are lost with a process that crashes, as the other one serves on.
@pytest.mark.parametrize(("crashed", "url"), [("new", "/held"), ("new", "/api"), ("old", "/held")])
def test_id_that_may_have_run_at_a_crashed_process_is_rejected_by_the_other_one(
    tmp_path, crashed, url
):
    async def scenario():
        async with HoldingServer() as server, NodeProcesses(tmp_path, server) as node:
            old = await node.start_and_wait()
            new = await node.start_and_wait() if crashed == "new" else None
            sent = await send_book(node, "sent-1", url)
            await until(lambda: server.requests.qsize() == 1)
            look = await node.connect_client()
            look.send(url="/held", X_Request_ID="safe-1")
            await until(lambda: server.requests.qsize() == 2)
            if url == "/api":
                assert (await sent.read_response())[0] == 200
            if new is None:
                await node.start_and_wait()
            process = new or old
            process.kill()
            assert await with_timeout(process.wait())
            assert await sent.read_until_close() == b""
            if new is not None:
                await until(lambda: "accepting connections again" in node.log(0))
            assert await status_of_book(node, "sent-1") == 409
            assert await status_of_look(node, "safe-1") == 200  # it may run twice
            assert server.runs() == ["sent-1", "safe-1", "safe-1"]

    run(scenario())


# Guards against ids that a process passes on to its successor and does not hear of any more.
def test_ids_of_a_predecessor_reach_the_successor_of_its_successor(tmp_path):
    async def scenario():
        async with HoldingServer() as server, NodeProcesses(tmp_path, server) as node:
            first = await node.start_and_wait()
            held = await send_book(node, "held-1", "/held")
            look = await node.connect_client()
            look.send(url="/held", X_Request_ID="safe-1")
            await until(lambda: server.requests.qsize() == 2)
            await node.start_and_wait()
            await node.start_and_wait()
            assert await status_of_book(node, "held-1") == 409
            assert await status_of_book(node, "safe-1") == 409
            server.release.set()
            assert (await held.read_response())[0] == (await look.read_response())[0] == 200
            first.send_signal(signal.SIGTERM)
            assert await with_timeout(first.wait()) == 0
            assert await status_of_book(node, "held-1") == 409
            assert await status_of_look(node, "safe-1") == 200

    run(scenario())
