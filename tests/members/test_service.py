"""Members on real sockets within one loop: they meet, are told apart, and exchange in pieces."""

import asyncio
from dataclasses import replace

import pytest
from click.testing import CliRunner
from peers import until

from oakbridge.cli.main import cli
from oakbridge.peers import snapshot as snap
from oakbridge.peers.member_query import MemberQueryError, query_members
from oakbridge.peers.messages import Datagram, MemberRecord, MemberState, MessageKind
from oakbridge.peers.node_reports import LocalLoad
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.service import MembershipService, ServiceOptions

QUICK = ProtocolOptions(
    probe_interval_us=60_000,
    probe_timeout_us=25_000,
    gossip_interval_us=20_000,
    reconnect_interval_us=200_000,
)


def member(n: int, port: int, secret: bytes = b"s" * 16, **more) -> MembershipService:
    options = ServiceOptions(
        f"n{n}", (f"127.0.77.{n + 1}", port), secret, seeds=(("127.0.77.1", port),), protocol=QUICK,
        tags={"site": "a"}, **more,
    )  # fmt: skip
    return MembershipService(options, lambda: LocalLoad(n, 1, ("s-9",)))


async def _query(port: int, states: dict[str, str], tmp_path) -> None:
    """One of them tells a stranger with the secret of all, and nobody comes to know the stranger."""
    told = await query_members(("127.0.77.1", port), b"s" * 16)
    assert {row["name"]: row["state"] for row in told} == states | {"n0": "alive"}
    with pytest.raises(MemberQueryError, match="connection closed by the member"):
        await query_members(("127.0.77.1", port), b"t" * 16)
    (tmp_path / "secret").write_text("s" * 16)
    words = [
        "fleet",
        "status",
        "--via",
        f"127.0.77.1:{port}",
        "--secret-file",
        str(tmp_path / "secret"),
    ]
    shown = await asyncio.to_thread(CliRunner().invoke, cli, words)
    assert shown.exit_code == 1
    assert "4 alive, 1 failed, 1 left" in shown.output
    for wrong, code, text in (
        (words[:4], 2, "expected --secret-file"),
        ([*words[:3], "nowhere", *words[4:]], 2, "--via: expected"),
        ([*words[:3], "127.0.77.1:9", *words[4:]], 1, "127.0.77.1:9"),
    ):
        shown = await asyncio.to_thread(CliRunner().invoke, cli, wrong)
        assert shown.exit_code == code
        assert text in shown.output
        assert "Traceback" not in shown.output


async def _meet(port: int, tmp_path) -> None:
    peers = [member(n, port, snapshot_path=tmp_path / f"{n}.json") for n in range(6)]
    stranger = member(9, port, b"t" * 16)
    for one in (*peers, stranger):
        await one.start()
    await until(lambda: all(len(p.member.live_names()) == 5 for p in peers))
    assert stranger.member.live_names() == []
    await until(lambda: peers[0].codec.rejected["tag"] + peers[0].counts["exchanges broken"])
    await until(lambda: peers[1].member.report("n2", 0) is not None)
    assert peers[1].member.report("n2", 0).report.in_flight == 2
    await peers[5].stop()
    peers[4].close()
    await until(
        lambda: all(
            set(p.member.live_names()) == {f"n{i}" for i in range(4)} - {p.options.name}
            for p in peers[:4]
        )
    )
    heard: list[dict[str, float]] = []
    peers[0].on_failure_reports = heard.append
    await until(lambda: heard)  # n1, n2 and n3 find it failing, which is all that votes can do
    assert heard[0] == {"s-9": 1.0}
    assert peers[0].describe()["doubted"][0]["by"] == ["n1", "n2", "n3"]
    states = {row["name"]: row["state"] for row in peers[0].describe()["members"]}
    await _query(port, states, tmp_path)
    assert (states["n5"], states["n4"]) == ("left", "failed")
    assert [c["after"] for c in peers[0].state_history("n4")] == ["alive", "suspect", "failed"]
    await until(lambda: (tmp_path / "4.json").exists())
    kept = snap.load(tmp_path / "4.json")
    back = member(4, port, snapshot_path=tmp_path / "4.json")
    await back.start()
    assert back.member.record.generation > kept.generation
    await until(lambda: all("n4" in p.member.live_names() for p in peers[:4]))
    for one in (*peers[:4], stranger, back):
        one.close()


def test_they_meet_leave_fail_and_come_back(tmp_path):
    asyncio.run(_meet(17_901, tmp_path))


async def _set_seeds_later(port: int) -> None:
    first, late = member(0, port), member(1, port)
    late.options = replace(late.options, seeds=(), expects_more_seeds=True)
    await first.start()
    await late.start()
    assert late.member.is_joining  # whether there is anybody is not known yet
    late.set_seeds([("127.0.77.1", port)])
    await until(lambda: late.member.live_names() == ["n0"] and first.member.live_names() == ["n1"])
    late.set_seeds([])
    assert not late.member.is_joining
    assert late.member.live_names() == ["n0"]
    alone = member(2, port)
    alone.options = replace(alone.options, seeds=(), expects_more_seeds=True)
    await alone.start()
    alone.set_seeds([])
    assert not alone.member.is_joining
    for one in (first, late, alone):
        one.close()


def test_seeds_may_be_set_later():
    asyncio.run(_set_seeds_later(17_903))


async def _made_up_addresses(port: int) -> None:
    one = member(0, port)
    await one.start()
    for n, address in enumerate(("localhost:1", "127.0.0.1:x", "", "127.0.0.1:70000")):
        news = MemberRecord(f"m{n}", address, 1, 1, 0, MemberState.ALIVE)
        one.perform(
            one.member.receive(
                0, "127.0.77.9:1", Datagram(MessageKind.GOSSIP, 0, "m9", 1, 0, "", "", (news,))
            )
        )
    await until(lambda: one.counts["could not send"] >= 8)
    assert set(one.member.members) == {"m0", "m1", "m2", "m3"}
    one.close()


def test_an_address_with_a_name_is_not_looked_up():
    asyncio.run(_made_up_addresses(17_904))


async def _nonsense(port: int) -> None:
    one = member(0, port)
    await one.start()
    before = one.member.push_pull_state()
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
        lambda: one.counts["exchanges broken"] == 3 and sum(one.codec.rejected.values()) >= 4
    )
    assert one.member.push_pull_state() == before
    sender.close()
    one.close()


def test_nonsense_on_its_sockets_is_counted():
    asyncio.run(_nonsense(17_902))
