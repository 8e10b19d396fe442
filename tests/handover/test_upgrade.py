"""A process replaced under load, and each way in which either of the two can fail."""

import asyncio
import signal
from collections import Counter

import pytest
from peers import SETTINGS, ScriptedServer, endpoint, listing, reply, run, until, with_timeout
from processes import Load, Site


def test_ten_replacements_lose_no_request_and_run_none_twice(tmp_path):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as a,
            ScriptedServer(lambda _: reply(200)) as b,
            Site(tmp_path, a, b) as site,
        ):
            old = await site.started()
            load = Load(site, priority_class="book", method="POST", body=b"x")
            for _ in range(10):
                new = await site.started()
                old.send_signal(signal.SIGTERM)
                assert await with_timeout(old.wait()) == 0
                await load.answered(50)
                old = new
            await load.end()
            counts = load.counts
            assert counts["closed"] == 0
            assert counts["answered"] == counts["sent"] > 500
            assert Counter(load.statuses) == {200: counts["sent"]}
            ran = Counter()
            for peer in (a, b):
                while peer.requests.qsize():
                    ran[peer.requests.get_nowait().headers["x-request-id"]] += 1
            assert len(ran) == counts["sent"]
            assert max(ran.values()) == 1
            assert not any("Traceback" in site.log(i) for i in range(len(site.logs)))

    run(scenario())


def test_what_is_under_way_ends_in_the_old_process_and_kept_connections_move(tmp_path):
    async def scenario():
        async def held():
            await peer.release.wait()
            return reply(200, b"held")

        async with (
            ScriptedServer(lambda s: held() if s.url == "/held" else reply(200)) as peer,
            Site(tmp_path, peer) as site,
        ):
            old = await site.started()
            busy, idle, silent = [await site.caller() for _ in range(3)]
            idle.send()
            assert (await idle.read_response())[0] == 200
            busy.send(url="/held")
            await until(lambda: peer.requests.qsize() >= 2)
            await site.started()
            old.send_signal(signal.SIGTERM)
            for caller in (idle, silent):
                caller.send()
                assert (await caller.read_response())[0] == 200
            assert old.returncode is None
            peer.release.set()
            status, headers, body = await busy.read_response()
            assert (status, body, headers.get("connection")) == (200, b"held", None)
            assert await with_timeout(old.wait()) == 0
            busy.send()
            assert (await busy.read_response())[0] == 200

    run(scenario())


def test_calls_hold_in_both_processes_and_go_along(tmp_path):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as a,
            ScriptedServer(lambda _: reply(200)) as b,
            Site(tmp_path, a, b) as site,
        ):
            await site.started()
            caller = await site.caller()

            async def used(times: int = 12) -> tuple[bool, bool]:
                for peer in (a, b):
                    while peer.requests.qsize():
                        peer.requests.get_nowait()
                for _ in range(times):
                    caller.send()
                    assert (await caller.read_response())[0] == 200
                return bool(a.requests.qsize()), bool(b.requests.qsize())

            assert (await site.call("OFFLINE s-0")).startswith("YES")
            assert (await site.call("LEAVE")).startswith("YES")
            await site.started()  # over an upgrade, with the first process still there
            caller = await site.caller()
            caller.send(url="/-/ready")
            assert (await caller.read_response())[0] == 503
            assert (await site.call("JOIN", 0)).startswith("YES")  # at the old one's address
            while True:
                caller = await site.caller()
                caller.send(url="/-/ready")
                if (await caller.read_response())[0] == 200:
                    break
            assert await used() == (False, True)
            assert (await site.call("OFFLINE s-1", 0)).startswith("YES")
            await site.health_until(lambda health: "1 servers" not in health, 1)
            assert (await site.call("ONLINE s-1", 1)).startswith("YES")
            await site.health_until(lambda health: "0 servers" not in health, 0)
            site.processes[0].send_signal(signal.SIGTERM)
            assert await with_timeout(site.processes[0].wait()) == 0
            assert "1 held out" in await site.call("HEALTH")

    run(scenario())


def test_second_process_that_can_not_start_leaves_the_first_as_it_was(tmp_path):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, Site(tmp_path, peer) as site:
            first = await site.started()
            load = Load(site)
            site.controls[1] = site.controls[0]  # its own address is taken
            second = await site.start()
            assert await with_timeout(second.wait()) == 1
            await load.answered(50)
            await site.started()
            first.send_signal(signal.SIGTERM)
            assert await with_timeout(first.wait()) == 0
            await load.end()
            assert load.counts["answered"] == load.counts["sent"]

    run(scenario())


@pytest.mark.parametrize("which", ["old", "new"])
def test_either_process_killed_after_the_yes_leaves_the_other_serving(tmp_path, which):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, Site(tmp_path, peer) as site:
            old = await site.started()
            new = await site.started()
            (old if which == "old" else new).kill()
            await with_timeout((old if which == "old" else new).wait())
            while True:
                try:
                    caller = await site.caller()
                    caller.send()
                    assert (await caller.read_response())[0] == 200
                    break
                except (OSError, asyncio.IncompleteReadError):
                    await asyncio.sleep(0.01)
            left = new if which == "old" else old
            if which == "new":  # and can be replaced again
                await site.started()
            left.send_signal(signal.SIGTERM)
            assert await with_timeout(left.wait()) == 0

    run(scenario())


def test_a_frozen_process_is_done_without(tmp_path):
    """SO_REUSEPORT lets the new one listen; it goes by its own file, as nobody sends it another."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, Site(tmp_path, peer) as site:
            old = await site.started()
            old.send_signal(signal.SIGSTOP)
            new = await site.started()
            assert "predecessor did not reply in time" in site.log()
            old.send_signal(signal.SIGCONT)
            old.kill()
            await with_timeout(old.wait())
            caller = await site.caller()
            caller.send()
            assert (await caller.read_response())[0] == 200
            third = await site.started()
            assert "taken over" in site.log()
            new.send_signal(signal.SIGTERM)
            assert await with_timeout(new.wait()) == 0
            third.send_signal(signal.SIGTERM)
            assert await with_timeout(third.wait()) == 0
            assert not list(tmp_path.glob("*.sock"))

    run(scenario())


def test_broken_file_at_the_start_is_done_without_and_a_stale_name_is_no_process(tmp_path):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, Site(tmp_path, peer) as site:
            old = await site.started()
            site.write("{")
            await site.started()
            assert "configuration is invalid, using the predecessor's" in site.log()
            old.kill()
            site.processes[1].kill()
            await with_timeout(asyncio.gather(old.wait(), site.processes[1].wait()))
            assert list(tmp_path.glob("*.sock"))  # left by one that was killed
            site.write()
            last = await site.started()
            assert "taken over" not in site.log()
            last.send_signal(signal.SIGTERM)
            assert await with_timeout(last.wait()) == 0

    run(scenario())


def test_a_long_folder_is_no_hindrance(tmp_path):
    folder = tmp_path / ("f" * 60) / ("g" * 60)
    folder.mkdir(parents=True)

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, Site(folder, peer) as site:
            await site.started()
            await site.started()
            assert "taken over" in site.log()

    run(scenario())


def test_what_discovery_tells_one_process_both_know_while_one_hands_over(tmp_path):
    """Guards against a drain that one process of a node knows, and the other one sends into."""
    invariants = SETTINGS["invariants"] | {"ask-within": 10_000_000}

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as peer,
            Site(tmp_path, peer, discovery="on_request", invariants=invariants) as site,
        ):
            await site.started()
            busy = await site.caller()
            await with_timeout(site.registry.requests.get())
            site.registry.put(listing(2, is_complete=False))
            await site.started()
            drained = listing(3, endpoint("s-0", peer.port, "draining"), is_complete=False)
            async with asyncio.timeout(20):
                while not any("list 3:" in site.log(i) for i in (0, 1)):
                    site.registry.put(drained)  # one whose call was given up takes its turn too
                    await asyncio.sleep(0.5)
            await asyncio.sleep(0.2)
            assert all("list 3:" in site.log(i) for i in (0, 1))
            busy.close()

    run(scenario())
