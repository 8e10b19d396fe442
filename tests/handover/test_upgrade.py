"""Hot restarts of a node's processes, under load and with failures of either process."""

import asyncio
import signal
from collections import Counter

import pytest
from peers import (
    SETTINGS,
    Client,
    ScriptedServer,
    endpoint,
    listing,
    reply,
    run,
    until,
    with_timeout,
)
from processes import ClientLoad, NodeProcesses


def test_ten_restarts_lose_no_request_and_run_none_twice(tmp_path):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first,
            ScriptedServer(lambda _: reply(200)) as second,
            NodeProcesses(tmp_path, first, second) as node,
        ):
            predecessor = await node.start_and_wait()
            load = ClientLoad(node, priority_class="book", method="POST", body=b"x")
            for _ in range(10):
                successor = await node.start_and_wait()
                predecessor.send_signal(signal.SIGTERM)
                assert await with_timeout(predecessor.wait()) == 0
                await load.wait_for_responses(50)
                predecessor = successor
            await load.finish()
            counts = load.counts
            assert counts["disconnects"] == 0
            assert counts["responses"] == counts["sent"] > 500
            assert Counter(load.statuses) == {200: counts["sent"]}
            executions = Counter()
            for server in (first, second):
                while server.requests.qsize():
                    executions[server.requests.get_nowait().headers["x-request-id"]] += 1
            assert len(executions) == counts["sent"]
            assert max(executions.values()) == 1
            assert not any("Traceback" in node.log(number) for number in range(len(node.logs)))

    run(scenario())


def test_open_request_finishes_in_predecessor_and_idle_connections_migrate(tmp_path):
    async def scenario():
        async def respond_when_released():
            await server.release.wait()
            return reply(200, b"held")

        async with (
            ScriptedServer(
                lambda request: respond_when_released() if request.url == "/held" else reply(200)
            ) as server,
            NodeProcesses(tmp_path, server) as node,
        ):
            predecessor = await node.start_and_wait()
            busy, idle, silent = [await node.connect_client() for _ in range(3)]
            idle.send()
            assert (await idle.read_response())[0] == 200
            busy.send(url="/held")
            await until(lambda: server.requests.qsize() >= 2)
            await node.start_and_wait()
            predecessor.send_signal(signal.SIGTERM)
            for client in (idle, silent):
                client.send()
                assert (await client.read_response())[0] == 200
            assert predecessor.returncode is None
            server.release.set()
            status, headers, body = await busy.read_response()
            assert (status, body, headers.get("connection")) == (200, b"held", None)
            assert await with_timeout(predecessor.wait()) == 0
            busy.send()
            assert (await busy.read_response())[0] == 200

    run(scenario())


def test_commands_apply_to_both_processes_and_are_kept_by_successor(tmp_path):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first,
            ScriptedServer(lambda _: reply(200)) as second,
            NodeProcesses(tmp_path, first, second) as node,
        ):
            await node.start_and_wait()
            client = await node.connect_client()

            async def servers_used(request_count: int = 12) -> tuple[bool, bool]:
                for server in (first, second):
                    while server.requests.qsize():
                        server.requests.get_nowait()
                for _ in range(request_count):
                    client.send()
                    assert (await client.read_response())[0] == 200
                return bool(first.requests.qsize()), bool(second.requests.qsize())

            assert (await node.send_command("OFFLINE s-0")).startswith("YES")
            assert (await node.send_command("LEAVE")).startswith("YES")
            await node.start_and_wait()  # a hot restart, while the predecessor still runs
            client = await node.connect_client()
            client.send(url="/-/ready")
            assert (await client.read_response())[0] == 503
            # At the predecessor's address.
            assert (await node.send_command("JOIN", 0)).startswith("YES")
            while True:
                client = await node.connect_client()
                client.send(url="/-/ready")
                if (await client.read_response())[0] == 200:
                    break
            assert await servers_used() == (False, True)
            assert (await node.send_command("OFFLINE s-1", 0)).startswith("YES")
            await node.wait_for_health(lambda health: "1 servers" not in health, 1)
            assert (await node.send_command("ONLINE s-1", 1)).startswith("YES")
            await node.wait_for_health(lambda health: "0 servers" not in health, 0)
            node.processes[0].send_signal(signal.SIGTERM)
            assert await with_timeout(node.processes[0].wait()) == 0
            assert "1 held out" in await node.send_command("HEALTH")

    run(scenario())


def test_successor_that_fails_to_start_does_not_affect_predecessor(tmp_path):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            NodeProcesses(tmp_path, server) as node,
        ):
            predecessor = await node.start_and_wait()
            load = ClientLoad(node)
            # The successor's address for operators is in use, so it exits.
            node.operator_ports[1] = node.operator_ports[0]
            failed_successor = await node.start()
            assert await with_timeout(failed_successor.wait()) == 1
            await load.wait_for_responses(50)
            await node.start_and_wait()
            predecessor.send_signal(signal.SIGTERM)
            assert await with_timeout(predecessor.wait()) == 0
            await load.finish()
            assert load.counts["responses"] == load.counts["sent"]

    run(scenario())


@pytest.mark.parametrize("killed", ["predecessor", "successor"])
def test_either_process_keeps_serving_after_the_other_is_killed(tmp_path, killed):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            NodeProcesses(tmp_path, server) as node,
        ):
            predecessor = await node.start_and_wait()
            successor = await node.start_and_wait()
            (predecessor if killed == "predecessor" else successor).kill()
            await with_timeout((predecessor if killed == "predecessor" else successor).wait())
            while True:
                try:
                    client = await node.connect_client()
                    client.send()
                    assert (await client.read_response())[0] == 200
                    break
                except (OSError, asyncio.IncompleteReadError):
                    await asyncio.sleep(0.01)
            remaining = successor if killed == "predecessor" else predecessor
            if killed == "successor":  # the predecessor accepts another successor
                await node.start_and_wait()
            remaining.send_signal(signal.SIGTERM)
            assert await with_timeout(remaining.wait()) == 0

    run(scenario())


# Guards against a node that forgets what operators said if its first new process crashes.
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_upgrade_after_a_successor_that_ended_takes_over_from_the_first_process(tmp_path, number):
    async def scenario():
        again = "accepting connections again"
        async with (
            ScriptedServer(lambda _: reply(200)) as first,
            ScriptedServer(lambda _: reply(200)) as second,
            NodeProcesses(tmp_path, first, second) as node,
        ):
            predecessor = await node.start_and_wait()
            assert (await node.send_command("OFFLINE s-0")).startswith("YES")
            for process_number in (1, 2):
                successor = await node.start_and_wait()
                assert "taken over" in node.log()
                assert (await node.send_command("OFFLINE s-0")).startswith("YES")
                client = await node.connect_client()
                client.send("book", "POST", body=b"x", X_Request_ID=f"ran-{process_number}")
                assert (await client.read_response())[0] == 200
                successor.send_signal(number)
                await with_timeout(successor.wait())
                await until(lambda n=process_number: node.log(0).count(again) == n)
            await node.start_and_wait()
            assert "taken over" in node.log()
            predecessor.send_signal(signal.SIGTERM)
            assert await with_timeout(predecessor.wait()) == 0
            assert "1 held out" in await node.send_command("HEALTH")
            for request_id, status in (("ran-1", 409), ("ran-2", 409), ("new", 200)):
                client = await node.connect_client()
                client.send("book", "POST", body=b"x", X_Request_ID=request_id)
                assert (await client.read_response())[0] == status
            assert first.requests.empty()

    run(scenario())


def test_successor_serves_without_predecessor_that_is_frozen(tmp_path):
    """Guards against a successor that waits for a frozen predecessor.

    SO_REUSEPORT lets the successor listen on the same port.  It uses its own configuration file, as
    it receives none.
    """

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            NodeProcesses(tmp_path, server) as node,
        ):
            predecessor = await node.start_and_wait()
            predecessor.send_signal(signal.SIGSTOP)
            successor = await node.start_and_wait()
            assert "predecessor did not reply in time" in node.log()
            predecessor.send_signal(signal.SIGCONT)
            predecessor.kill()
            await with_timeout(predecessor.wait())
            client = await node.connect_client()
            client.send()
            assert (await client.read_response())[0] == 200
            third = await node.start_and_wait()
            assert "taken over" in node.log()
            successor.send_signal(signal.SIGTERM)
            assert await with_timeout(successor.wait()) == 0
            third.send_signal(signal.SIGTERM)
            assert await with_timeout(third.wait()) == 0
            assert not list(tmp_path.glob("*.sock"))

    run(scenario())


def test_invalid_configuration_is_replaced_by_predecessors_and_stale_socket_is_ignored(tmp_path):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            NodeProcesses(tmp_path, server) as node,
        ):
            predecessor = await node.start_and_wait()
            node.write_config("{")
            await node.start_and_wait()
            assert "configuration is invalid, using the predecessor's" in node.log()
            predecessor.kill()
            node.processes[1].kill()
            await with_timeout(asyncio.gather(predecessor.wait(), node.processes[1].wait()))
            assert list(tmp_path.glob("*.sock"))  # left by a process that was killed
            node.write_config()
            last = await node.start_and_wait()
            assert "taken over" not in node.log()
            last.send_signal(signal.SIGTERM)
            assert await with_timeout(last.wait()) == 0

    run(scenario())


# Guards against a successor that ends at its start, as its predecessor waits for a complete list.
def test_successor_starts_while_discovery_has_just_moved_and_is_silent(tmp_path):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            ScriptedServer(lambda _: None) as silent_discovery,
            NodeProcesses(tmp_path, server) as node,
        ):
            node.discovery.put(listing(7, *node.listed))
            predecessor = await node.start_and_wait()
            await until(lambda: "version=7" in node.log(0))
            node.write_config(discovery=f"127.0.0.1:{silent_discovery.port}")
            predecessor.send_signal(signal.SIGHUP)
            await until(lambda: "discovery address changed" in node.log(0))
            await node.start_and_wait()
            assert "taken over" in node.log()
            client = await Client.connect(node.port)
            client.send()
            assert (await client.read_response())[0] == 200
            client.close()
            # The complete list is requested, as no version of the new address is known.
            await until(lambda: silent_discovery.requests.qsize() >= 2)
            while not silent_discovery.requests.empty():
                assert "since=-1&" in silent_discovery.requests.get_nowait().url

    run(scenario())


def test_hot_restart_works_in_folder_with_long_path(tmp_path):
    folder = tmp_path / ("f" * 60) / ("g" * 60)
    folder.mkdir(parents=True)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            NodeProcesses(folder, server) as node,
        ):
            await node.start_and_wait()
            await node.start_and_wait()
            assert "taken over" in node.log()

    run(scenario())


def test_endpoint_list_that_one_process_reads_is_used_by_both_during_hand_over(tmp_path):
    """Guards against a process that sends to a server of whose drain only the other one knows."""
    invariants = SETTINGS["invariants"] | {"ask-within": 10_000_000}

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            NodeProcesses(tmp_path, server, discovery="on_request", invariants=invariants) as node,
        ):
            await node.start_and_wait()
            busy = await node.connect_client()
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(2, is_complete=False))
            await node.start_and_wait()
            drained = listing(3, endpoint("s-0", server.port, "draining"), is_complete=False)
            log_text = "endpoint list received: version=3 "
            async with asyncio.timeout(20):
                while not any(log_text in node.log(number) for number in (0, 1)):
                    # A discovery request that was cancelled consumes a response too.
                    node.discovery.put(drained)
                    await asyncio.sleep(0.5)
            await asyncio.sleep(0.2)
            assert all(log_text in node.log(number) for number in (0, 1))
            busy.close()

    run(scenario())
