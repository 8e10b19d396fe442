"""Messages, streams and the four transaction machines."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from network import CLASSES, PROXY, RULES

from oakbridge.policy.actions import SendAttempt
from oakbridge.policy.events import AttemptResult, RequestReceived
from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.framing import Stream
from oakbridge.sip.header_values import max_forwards
from oakbridge.sip.message import build_response
from oakbridge.sip.parser import parse_message
from oakbridge.sip.proxy import Peer, Post, Proxy, Settings, Transmit
from oakbridge.sip.transaction import LONG, T1, T2, Kind, State, Transaction
from oakbridge.sip.via import parse_via, push_via

# RFC 3261, figures 5 to 8, with RFC 6026: state, event, next state, what is done; all else changes nothing.
FIGURES = {
    Kind.CLIENT_INVITE: """
        calling A calling send | calling B terminated timeout | calling failed terminated error
        calling 1xx proceeding pass | calling 2xx accepted pass | calling 3-6xx completed ack pass
        proceeding 1xx proceeding pass | proceeding 2xx accepted pass | proceeding 3-6xx completed ack pass
        proceeding failed terminated error | accepted 2xx accepted pass | accepted M terminated
        completed 3-6xx completed ack | completed failed terminated error | completed D terminated""",
    Kind.CLIENT_OTHER: """
        trying E trying send | trying F terminated timeout | trying failed terminated error
        trying 1xx proceeding pass | trying 2xx completed pass | trying 3-6xx completed pass
        proceeding E proceeding send | proceeding F terminated timeout | proceeding failed terminated error
        proceeding 1xx proceeding pass | proceeding 2xx completed pass | proceeding 3-6xx completed pass
        completed K terminated""",
    Kind.SERVER_INVITE: """
        proceeding request proceeding send | proceeding put_1xx proceeding put | proceeding put_2xx accepted put
        proceeding put_3-6xx completed put | proceeding failed proceeding error | accepted request accepted
        accepted put_2xx accepted put | accepted ack accepted pass | accepted failed accepted error
        accepted L terminated | completed request completed send | completed G completed send
        completed H terminated timeout | completed ack confirmed | completed failed completed error
        confirmed request confirmed | confirmed ack confirmed | confirmed I terminated""",
    Kind.SERVER_OTHER: """
        trying request trying | trying put_1xx proceeding put | trying put_2xx completed put
        trying put_3-6xx completed put | trying failed trying error | proceeding request proceeding send
        proceeding put_1xx proceeding put | proceeding put_2xx completed put | proceeding put_3-6xx completed put
        proceeding failed terminated error | completed request completed send | completed failed terminated error
        completed J terminated""",
}
EVENTS = [
    "1xx",
    "2xx",
    "3-6xx",
    "request",
    "ack",
    "put 1xx",
    "put 2xx",
    "put 3-6xx",
    "failed",
    *"ABDEFGHIJKLM",
]


@pytest.mark.parametrize("kind", Kind)
def test_each_state_and_each_event_as_the_figures_have_it(kind):
    rows = [row.split() for row in FIGURES[kind].replace("\n", "|").split("|") if row.strip()]
    expected = {(r[0], r[1].replace("_", " ")): (r[2], r[3:]) for r in rows}
    for state in State:
        for event in EVENTS:
            txn = Transaction(kind, False, state, dict.fromkeys("A", 9), dict.fromkeys("AEG", T1))
            did = txn.on(event, 0)
            want = expected.get((state.value, event), (state.value, []))
            assert (txn.state.value, did) == (want[0], want[1]), (state, event)


def sends(kind, until, answer=None, reliable=False):
    """When a machine sends that is driven late by a millisecond, in units of T1, and how it ends."""
    txn, now, seen = Transaction(kind, reliable), 0, []
    if "send" in txn.begin(0):
        seen.append(0)
    if answer:
        txn.on(answer, 0)
    while (due := txn.due()) is not None and due <= until:
        now = due + 1_000
        seen += [due // T1 for verb in txn.tick(now) if verb in ("send", "timeout")]
    return seen, txn.state


@pytest.mark.parametrize(
    ("kind", "answer", "reliable", "when", "end"),
    [(Kind.CLIENT_INVITE, None, False, [0, 1, 3, 7, 15, 31, 63, 64], State.TERMINATED),
     (Kind.CLIENT_INVITE, None, True, [0, 64], State.TERMINATED),
     (Kind.CLIENT_INVITE, "1xx", False, [0], State.PROCEEDING),
     (Kind.CLIENT_OTHER, None, False, [0, 1, 3, 7, 15, 23, 31, 39, 47, 55, 63, 64], State.TERMINATED),
     (Kind.CLIENT_OTHER, "1xx", False, [0, 1, 9, 17, 25, 33, 41, 49, 57, 64], State.TERMINATED),
     (Kind.CLIENT_OTHER, "2xx", False, [0], State.TERMINATED),
     (Kind.CLIENT_OTHER, "2xx", True, [0], State.TERMINATED),
     (Kind.SERVER_INVITE, "put 3-6xx", False, [1, 3, 7, 15, 23, 31, 39, 47, 55, 63, 64], State.TERMINATED),
     (Kind.SERVER_INVITE, "put 3-6xx", True, [64], State.TERMINATED),
     (Kind.SERVER_INVITE, "put 2xx", False, [], State.TERMINATED),
     (Kind.SERVER_OTHER, "put 2xx", False, [], State.TERMINATED)],
)  # fmt: skip
def test_retransmissions_and_ends_by_the_timers(kind, answer, reliable, when, end):
    assert sends(kind, 2 * LONG, answer, reliable) == (when, end) and T2 == 8 * T1


GOOD = (
    "OPTIONS sip:desk@10.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 10.1.0.1:6000;branch=z9hG4bK1;rport\r\n"
    "From: <sip:a@b>;tag=1\r\nTo: <sip:desk@10.0.0.1>\r\nCall-ID: c1\r\nCSeq: 1 OPTIONS\r\nMax-Forwards: 5\r\n\r\n"
)


def changed(*pairs):
    text = GOOD
    for old, new in pairs:
        assert old in text
        text = text.replace(old, new)
    return text.encode()


# Written anew from what RFC 4475 describes; the section, the message, and the status that comes back (None: nothing;
# "on": it goes to the module).
TORTURE = [
    ("3.1.1.1 short and tortuous", changed(
        ("Via: SIP/2.0/UDP 10.1.0.1:6000;branch=", "v:  SIP  / 2.0\r\n / UDP\r\n    10.1.0.1:6000;branch\t=\t"),
        ("To: <sip:desk@10.0.0.1>", 'TO :\r\n "A \\\\\\" B" <sip:desk@10.0.0.1>;\r\n  x = "q;,"'),
        ("Call-ID: c1", "i:\r\n c1"), ("Max-Forwards: 5", "Max-Forwards: 0068\r\nNewField: \x00;\x7f")), "on"),
    ("3.1.1.3 escapes in the URI", changed(("sip:desk@10.0.0.1 ", "sip:sips%3Auser%40example.com@10.0.0.1 ")), "on"),
    ("3.1.1.6 no blank between name and <", changed(("From: <sip:a@b>", "From: A B<sip:a@b>")), "on"),
    ("3.1.1.7 long values", changed(("From: <sip:a@b>", f'From: "{"x" * 4000}" <sip:a@b>')), "on"),
    ("3.1.1.8 bytes behind the message", changed(("\r\n\r\n", "\r\nl: 0\r\n\r\nREGISTER sip:x SIP/2.0\r\n")), "on"),
    ("3.1.1.10 parameters unknown", changed((";rport", ";rport;x=y;z")), "on"),
    ("3.1.2.1 odd separators in Via", changed(("\r\nFrom", ";;,;,\r\nFrom")), None),
    ("3.1.2.2 length larger than the body", changed(("\r\n\r\n", "\r\nContent-Length: 9999\r\n\r\n")), 400),
    ("3.1.2.3 negative length", changed(("\r\n\r\n", "\r\nContent-Length: -999\r\n\r\n")), 400),
    ("3.1.2.4 numbers too large", changed(("CSeq: 1 ", "CSeq: 36893488147419103232 ")), 400),
    ("3.1.2.6 a quote that never ends", changed(("To: <", 'To: "Mr <')), 400),
    ("3.1.2.7 URI in brackets", changed(("OPTIONS sip:desk@10.0.0.1", "OPTIONS <sip:desk@10.0.0.1>")), 400),
    ("3.1.2.8 blanks in the URI", changed(("OPTIONS sip:desk@", "OPTIONS sip:desk lr@")), 400),
    ("3.1.2.10 blanks at the line's end", changed((" SIP/2.0\r\nVia", " SIP/2.0  \r\nVia")), 400),
    ("3.1.2.16 another version", changed((" SIP/2.0\r\nVia", " SIP/7.0\r\nVia")), 505),
    ("3.1.2.17 methods differ", changed(("1 OPTIONS", "1 INVITE")), 400),
    ("3.2.1 no branch", changed(("branch=z9hG4bK1;", "")), "on"),
    ("3.3.1 headers are missing", changed(("Call-ID: c1\r\n", "")), 400),
    ("3.3.2 unknown scheme", changed(("OPTIONS sip:desk@10.0.0.1", "OPTIONS nobodyKnows:x")), 416),
    ("3.3.3 known scheme that is none of SIP's", changed(("OPTIONS sip:desk@10.0.0.1", "OPTIONS soap.beep:x")), 400),
    ("3.3.5 unknown extension for proxies", changed(("Max", "Proxy-Require: nothingSupports\r\nMax")), 420),
    ("3.3.9 one header twice", changed(("Call-ID: c1", "Call-ID: c1\r\nCall-ID: c2")), 400),
    ("3.3.12 no hops left", changed(("Max-Forwards: 5", "Max-Forwards: 0")), 483),
    ("3.3.16 a response to nobody", b"SIP/2.0 200 OK\r\n" + GOOD.partition("\r\n")[2].encode(), None),
]  # fmt: skip


def proxy():
    return Proxy(Settings(PROXY.host, PROXY.port, RULES, {c.name: c.deadline for c in CLASSES}), 1)


@pytest.mark.parametrize(("what", "data", "told"), TORTURE, ids=[t[0] for t in TORTURE])
def test_tortured_messages_are_answered_as_they_should_be(what, data, told):
    done = proxy().received(1, Peer("UDP", "10.1.0.1", 6000), data)
    statuses = [int(a.data.split()[1]) for a in done if isinstance(a, Transmit)]
    assert statuses == ([told] if isinstance(told, int) else [])
    assert [type(a.event) for a in done if isinstance(a, Post)] == ([RequestReceived] if told == "on" else [])


def test_a_hop_answers_where_the_packet_came_from_and_a_loop_is_no_spiral():
    one = proxy()
    (post,) = one.received(1, Peer("UDP", "192.0.2.7", 7777), GOOD.encode())
    one.servers["s0"] = Peer("UDP", "10.2.0.1", 5060)
    (sent,) = one.carry_out(2, SendAttempt(post.event.request_id, "s0", 1_000_000))
    out = parse_message(sent.data)
    vias = [parse_via(v) for v in out.get_all("via")]
    assert vias[1].param("received") == "192.0.2.7" and vias[1].param("rport") == "7777"
    assert max_forwards(out) == 4 and vias[0].sent_by == "10.0.0.1:5060"
    (back,) = one.received(3, one.servers["s0"], sent.data)  # unchanged: a loop
    assert parse_message(back.data).status == 482
    other = parse_message(sent.data)
    other.uri = "sip:desk2@10.0.0.1"  # changed on its way, by another hop: a spiral
    push_via(other, parse_via("SIP/2.0/UDP 10.2.0.1;branch=z9hG4bKother"))
    (spiral,) = one.received(4, one.servers["s0"], other.to_bytes())
    assert isinstance(spiral.event, RequestReceived)
    done = one.received(5, one.servers["s0"], build_response(out, 200, "t").to_bytes())
    (answer,) = [a for a in done if isinstance(a, Transmit)]
    assert (
        answer.peer == Peer("UDP", "192.0.2.7", 7777) and len(parse_message(answer.data).get_all("via")) == 1
    )


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_no_bytes_crash_it_and_nothing_gets_two_answers(data):
    one, text = proxy(), bytearray(GOOD.encode())
    for _ in range(data.draw(st.integers(0, 6))):
        place = data.draw(st.integers(0, len(text) - 1))
        cut = data.draw(st.integers(0, 12))
        text[place : place + cut] = data.draw(
            st.sampled_from([b"", b"\r\n", b";", b",", b'"', b"<", b"\xff", b"=", b" ", b"SIP/2.0", b"Via: "])
        )
    done = one.received(1, Peer("UDP", "10.1.0.1", 6000), bytes(text)) if text else []
    assert len(done) <= 1 and len(one.calls) <= 1


@pytest.mark.parametrize("seed", range(10))
def test_a_stream_gives_whole_messages_however_it_is_cut_and_holds_no_more_than_one(seed):
    draw = random.Random(seed)
    messages = [
        changed(("\r\n\r\n", f"\r\n{draw.choice(('l', 'Content-Length'))} : {n}\r\n\r\n")) + b"x" * n
        for n in (0, 3, 900)
    ]
    data = b"\r\n\r\n" + b"".join(messages) + b"\r\n\r\n" + messages[1]
    stream, found = Stream(), []
    while data:
        cut = draw.randint(1, 700)
        found += stream.feed(data[:cut])
        data = data[cut:]
    assert found == [*messages, messages[1]] and len(stream) == 0 and stream.pings == 2
    for bad in (
        GOOD.encode(),
        b"x" * 20_000,
        changed(("\r\n\r\n", "\r\nl: 1\r\nl: 2\r\n\r\n")),
        changed(("\r\n\r\n", "\r\nl: 99999\r\n\r\n")),
    ):
        with pytest.raises(SipMessageError):
            Stream().feed(bad)


@pytest.mark.parametrize(("repeats", "result"), [(0, AttemptResult.CONNECT_FAILED), (1, AttemptResult.RESET)])
def test_a_refusal_means_never_ran_only_for_the_one_datagram_of_its_own_request(repeats, result):
    """A server may have taken an earlier datagram, or another request's, before it died."""
    one, now = proxy(), 1
    one.servers["s0"] = Peer("UDP", "10.2.0.1", 5060)
    sent = []
    for number in (1, 2):
        text = changed(("z9hG4bK1", f"z9hG4bK{number}"), ("c1", f"c{number}"))
        (post,) = one.received(now, Peer("UDP", "10.1.0.1", 6000), text)
        sent += one.carry_out(now, SendAttempt(post.event.request_id, "s0", 5_000_000))
    if repeats:
        assert len(one.tick(now + T1)) == 2
    ends = [a.event for a in one.refused(now + T1, sent[0].data[:500]) if isinstance(a, Post)]
    assert [(e.request_id, e.result) for e in ends] == [(1, result)]
    assert one.refused(now + T1, b"SIP/2.0 200 OK\r\nVia: x;branch=y") == []
