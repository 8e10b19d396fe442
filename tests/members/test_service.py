"""Members on real sockets in one event loop: join, leave, failure, restart and invalid input."""

import asyncio
from dataclasses import replace

import pytest
from click.testing import CliRunner
from peers import until

from oakbridge.cli.main import cli
from oakbridge.peers import snapshot
from oakbridge.peers.member_query import MemberQueryError, query_members
from oakbridge.peers.messages import Datagram, MemberRecord, MemberState, MessageKind
from oakbridge.peers.node_reports import LocalLoad
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.service import MembershipService, ServiceOptions

FAST_PROTOCOL = ProtocolOptions(
    probe_interval_us=60_000,
    probe_timeout_us=25_000,
    gossip_interval_us=20_000,
    reconnect_interval_us=200_000,
)


def member_service(number: int, port: int, secret: bytes = b"s" * 16, **extra) -> MembershipService:
    options = ServiceOptions(
        f"n{number}",
        (f"127.0.77.{number + 1}", port),
        secret,
        seeds=(("127.0.77.1", port),),
        protocol=FAST_PROTOCOL,
        tags={"site": "a"},
        **extra,
    )
    return MembershipService(options, lambda: LocalLoad(number, 1, ("s-9",)))


async def _query(port: int, states: dict[str, str], tmp_path) -> None:
    """A query with the members' secret returns all members, and adds no member."""
    rows = await query_members(("127.0.77.1", port), b"s" * 16)
    assert {row["name"]: row["state"] for row in rows} == states | {"n0": "alive"}
    with pytest.raises(MemberQueryError, match="connection closed by the member"):
        await query_members(("127.0.77.1", port), b"t" * 16)
    (tmp_path / "secret").write_text("s" * 16)
    arguments = [
        "fleet",
        "status",
        "--via",
        f"127.0.77.1:{port}",
        "--secret-file",
        str(tmp_path / "secret"),
    ]
    result = await asyncio.to_thread(CliRunner().invoke, cli, arguments)
    assert result.exit_code == 1
    assert "4 alive, 1 failed, 1 left" in result.output
    for invalid, exit_code, message in (
        (arguments[:4], 2, "expected --secret-file"),
        ([*arguments[:3], "nowhere", *arguments[4:]], 2, "--via: expected"),
        ([*arguments[:3], "127.0.77.1:9", *arguments[4:]], 1, "127.0.77.1:9"),
    ):
        result = await asyncio.to_thread(CliRunner().invoke, cli, invalid)
        assert result.exit_code == exit_code
        assert message in result.output
        assert "Traceback" not in result.output


async def _join_leave_fail_and_restart(port: int, tmp_path) -> None:
    peers = [member_service(n, port, snapshot_path=tmp_path / f"{n}.json") for n in range(6)]
    stranger = member_service(9, port, b"t" * 16)
    for service in (*peers, stranger):
        await service.start()
    await until(lambda: all(len(peer.member.live_names()) == 5 for peer in peers))
    assert stranger.member.live_names() == []
    await until(lambda: peers[0].codec.rejected["tag"] + peers[0].counts["exchanges broken"])
    await until(lambda: peers[1].member.report("n2", 0) is not None)
    assert peers[1].member.report("n2", 0).report.in_flight == 2
    await peers[5].stop()
    peers[4].close()
    await until(
        lambda: all(
            set(peer.member.live_names()) == {f"n{i}" for i in range(4)} - {peer.options.name}
            for peer in peers[:4]
        )
    )
    weights: list[dict[str, float]] = []
    peers[0].on_failure_reports = weights.append
    await until(lambda: weights)  # n1, n2 and n3 report it failing, which gives the full weight
    assert weights[0] == {"s-9": 1.0}
    assert peers[0].describe()["doubted"][0]["by"] == ["n1", "n2", "n3"]
    states = {row["name"]: row["state"] for row in peers[0].describe()["members"]}
    await _query(port, states, tmp_path)
    assert (states["n5"], states["n4"]) == ("left", "failed")
    assert [change["after"] for change in peers[0].state_history("n4")] == [
        "alive",
        "suspect",
        "failed",
    ]
    await until(lambda: (tmp_path / "4.json").exists())
    saved = snapshot.load(tmp_path / "4.json")
    restarted = member_service(4, port, snapshot_path=tmp_path / "4.json")
    await restarted.start()
    assert restarted.member.record.generation > saved.generation
    await until(lambda: all("n4" in peer.member.live_names() for peer in peers[:4]))
    for service in (*peers[:4], stranger, restarted):
        service.close()


def test_members_join_leave_fail_and_restart(tmp_path):
    asyncio.run(_join_leave_fail_and_restart(17_901, tmp_path))


async def _set_seeds_later(port: int) -> None:
    first, late = member_service(0, port), member_service(1, port)
    late.options = replace(late.options, seeds=(), expects_more_seeds=True)
    await first.start()
    await late.start()
    assert late.member.is_joining  # its seeds aren't known yet
    late.set_seeds([("127.0.77.1", port)])
    await until(lambda: late.member.live_names() == ["n0"] and first.member.live_names() == ["n1"])
    late.set_seeds([])
    assert not late.member.is_joining
    assert late.member.live_names() == ["n0"]
    alone = member_service(2, port)
    alone.options = replace(alone.options, seeds=(), expects_more_seeds=True)
    await alone.start()
    alone.set_seeds([])
    assert not alone.member.is_joining
    for service in (first, late, alone):
        service.close()


def test_seeds_can_be_set_after_start():
    asyncio.run(_set_seeds_later(17_903))


async def _receive_invalid_addresses(port: int) -> None:
    service = member_service(0, port)
    await service.start()
    for index, address in enumerate(("localhost:1", "127.0.0.1:x", "", "127.0.0.1:70000")):
        record = MemberRecord(f"m{index}", address, 1, 1, 0, MemberState.ALIVE)
        service.perform(
            service.member.receive(
                0, "127.0.77.9:1", Datagram(MessageKind.GOSSIP, 0, "m9", 1, 0, "", "", (record,))
            )
        )
    await until(lambda: service.counts["could not send"] >= 8)
    assert set(service.member.members) == {"m0", "m1", "m2", "m3"}
    service.close()


def test_invalid_addresses_and_host_names_are_counted_and_not_resolved():
    asyncio.run(_receive_invalid_addresses(17_904))


async def _receive_invalid_data(port: int) -> None:
    service = member_service(0, port)
    await service.start()
    before = service.member.push_pull_state()
    loop = asyncio.get_running_loop()
    sender, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=("127.0.77.1", port)
    )
    for data in (b"", b"x" * 17, b"\x01" * 900, b"\xff" * 1300):
        sender.sendto(data)
    for data in (b"\xff\xff\xff\xff", b"\0\0\0\4abcd", b"\0"):
        _, writer = await asyncio.open_connection("127.0.77.1", port)
        writer.write(data)
        writer.write_eof()
    await until(
        lambda: (
            service.counts["exchanges broken"] == 3 and sum(service.codec.rejected.values()) >= 4
        )
    )
    assert service.member.push_pull_state() == before
    sender.close()
    service.close()


def test_invalid_data_on_the_sockets_is_counted():
    asyncio.run(_receive_invalid_data(17_902))
