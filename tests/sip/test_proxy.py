"""Tests of the proxy alone: malformed messages, hops, loops and refused datagrams."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from network import proxy_settings
from sip_messages import REQUEST, altered

from oakbridge.policy.actions import SendAttempt
from oakbridge.policy.events import AttemptResult, RequestReceived
from oakbridge.sip.header_values import max_forwards
from oakbridge.sip.message import build_response
from oakbridge.sip.outbox import PostEvent, Transmit
from oakbridge.sip.parser import parse_message
from oakbridge.sip.peer import Peer
from oakbridge.sip.proxy import Proxy
from oakbridge.sip.transaction import T1_US
from oakbridge.sip.via import parse_via, push_via

CALLER = Peer("UDP", "10.1.0.1", 6000)
SERVER = Peer("UDP", "10.2.0.1", 5060)
FORWARDED = "forwarded"

# Messages written anew after the descriptions in RFC 4475, whose sections the ids name. Each has the
# status of the expected response, None for no response, or FORWARDED for a request that is passed to
# the balancer.
TORTURE_MESSAGES = [
    pytest.param(
        altered(
            (
                "Via: SIP/2.0/UDP 10.1.0.1:6000;branch=",
                "v:  SIP  / 2.0\r\n / UDP\r\n    10.1.0.1:6000;branch\t=\t",
            ),
            (
                "To: <sip:desk@10.0.0.1>",
                'TO :\r\n "A \\\\\\" B" <sip:desk@10.0.0.1>;\r\n  x = "q;,"',
            ),
            ("Call-ID: c1", "i:\r\n c1"),
            ("Max-Forwards: 5", "Max-Forwards: 0068\r\nNewField: \x00;\x7f"),
        ),
        FORWARDED,
        id="3.1.1.1 short and tortuous",
    ),
    pytest.param(
        altered(("sip:desk@10.0.0.1 ", "sip:sips%3Auser%40example.com@10.0.0.1 ")),
        FORWARDED,
        id="3.1.1.3 escapes in the URI",
    ),
    pytest.param(
        altered(("From: <sip:a@b>", "From: A B<sip:a@b>")),
        FORWARDED,
        id="3.1.1.6 no blank between name and <",
    ),
    pytest.param(
        altered(("From: <sip:a@b>", f'From: "{"x" * 4000}" <sip:a@b>')),
        FORWARDED,
        id="3.1.1.7 long values",
    ),
    pytest.param(
        altered(("\r\n\r\n", "\r\nl: 0\r\n\r\nREGISTER sip:x SIP/2.0\r\n")),
        FORWARDED,
        id="3.1.1.8 bytes after the message",
    ),
    pytest.param(altered((";rport", ";rport;x=y;z")), FORWARDED, id="3.1.1.10 parameters unknown"),
    pytest.param(altered(("\r\nFrom", ";;,;,\r\nFrom")), None, id="3.1.2.1 odd separators in Via"),
    pytest.param(
        altered(("\r\n\r\n", "\r\nContent-Length: 9999\r\n\r\n")),
        400,
        id="3.1.2.2 length larger than the body",
    ),
    pytest.param(
        altered(("\r\n\r\n", "\r\nContent-Length: -999\r\n\r\n")),
        400,
        id="3.1.2.3 negative length",
    ),
    pytest.param(
        altered(("CSeq: 1 ", "CSeq: 36893488147419103232 ")),
        400,
        id="3.1.2.4 numbers too large",
    ),
    pytest.param(altered(("To: <", 'To: "Mr <')), 400, id="3.1.2.6 unterminated quoted string"),
    pytest.param(
        altered(("OPTIONS sip:desk@10.0.0.1", "OPTIONS <sip:desk@10.0.0.1>")),
        400,
        id="3.1.2.7 URI in brackets",
    ),
    pytest.param(
        altered(("OPTIONS sip:desk@", "OPTIONS sip:desk lr@")),
        400,
        id="3.1.2.8 blanks in the URI",
    ),
    pytest.param(
        altered((" SIP/2.0\r\nVia", " SIP/2.0  \r\nVia")),
        400,
        id="3.1.2.10 blanks at the end of the line",
    ),
    pytest.param(altered(("SIP/2.0\r\nVia", "SIP/7.0\r\nVia")), 505, id="3.1.2.16 another version"),
    pytest.param(altered(("1 OPTIONS", "1 INVITE")), 400, id="3.1.2.17 methods differ"),
    pytest.param(altered(("branch=z9hG4bK1;", "")), FORWARDED, id="3.2.1 no branch"),
    pytest.param(altered(("Call-ID: c1\r\n", "")), 400, id="3.3.1 headers are missing"),
    pytest.param(
        altered(("OPTIONS sip:desk@10.0.0.1", "OPTIONS nobodyKnows:x")),
        416,
        id="3.3.2 unknown scheme",
    ),
    pytest.param(
        altered(("OPTIONS sip:desk@10.0.0.1", "OPTIONS soap.beep:x")),
        400,
        id="3.3.3 known scheme other than sip",
    ),
    pytest.param(
        altered(("Max", "Proxy-Require: nothingSupports\r\nMax")),
        420,
        id="3.3.5 unknown extension for proxies",
    ),
    pytest.param(
        altered(("Call-ID: c1", "Call-ID: c1\r\nCall-ID: c2")),
        400,
        id="3.3.9 repeated header",
    ),
    pytest.param(altered(("Max-Forwards: 5", "Max-Forwards: 0")), 483, id="3.3.12 no hops left"),
    pytest.param(
        b"SIP/2.0 200 OK\r\n" + REQUEST.partition("\r\n")[2].encode(),
        None,
        id="3.3.16 response without a transaction",
    ),
]


@pytest.fixture
def proxy():
    return Proxy(proxy_settings(), 1)


def transmits(actions):
    return [action for action in actions if isinstance(action, Transmit)]


def events(actions):
    return [action.event for action in actions if isinstance(action, PostEvent)]


@pytest.mark.parametrize(("data", "expected"), TORTURE_MESSAGES)
def test_malformed_message_gets_the_response_to_its_fault(proxy, data, expected):
    actions = proxy.message_received(1, CALLER, data)
    statuses = [int(sent.data.split()[1]) for sent in transmits(actions)]
    assert statuses == ([expected] if isinstance(expected, int) else [])
    received = [RequestReceived] if expected == FORWARDED else []
    assert [type(event) for event in events(actions)] == received


def test_response_goes_to_the_source_address_and_a_spiral_is_not_a_loop(proxy):
    source = Peer("UDP", "192.0.2.7", 7777)
    proxy.servers["s0"] = SERVER
    (posted,) = proxy.message_received(1, source, REQUEST.encode())
    (sent,) = proxy.carry_out(2, SendAttempt(posted.event.request_id, "s0", 1_000_000))
    forwarded = parse_message(sent.data)
    vias = [parse_via(value) for value in forwarded.get_all("via")]
    assert vias[1].param("received") == "192.0.2.7"
    assert vias[1].param("rport") == "7777"
    assert max_forwards(forwarded) == 4
    assert vias[0].sent_by == "10.0.0.1:5060"

    (loop,) = proxy.message_received(3, SERVER, sent.data)
    assert parse_message(loop.data).status == 482

    spiral = parse_message(sent.data)
    spiral.uri = "sip:desk2@10.0.0.1"  # altered by another hop
    push_via(spiral, parse_via("SIP/2.0/UDP 10.2.0.1;branch=z9hG4bKother"))
    (posted,) = proxy.message_received(4, SERVER, spiral.to_bytes())
    assert isinstance(posted.event, RequestReceived)

    response = build_response(forwarded, 200, "t")
    (forwarded_response,) = transmits(proxy.message_received(5, SERVER, response.to_bytes()))
    assert forwarded_response.peer == source
    assert len(parse_message(forwarded_response.data).get_all("via")) == 1


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_no_bytes_crash_the_proxy_or_get_two_responses(data):
    proxy = Proxy(proxy_settings(), 1)
    text = bytearray(REQUEST.encode())
    inserted = [b"", b"\r\n", b";", b",", b'"', b"<", b"\xff", b"=", b" ", b"SIP/2.0", b"Via: "]
    for _ in range(data.draw(st.integers(0, 6))):
        start = data.draw(st.integers(0, len(text) - 1))
        length = data.draw(st.integers(0, 12))
        text[start : start + length] = data.draw(st.sampled_from(inserted))
    actions = proxy.message_received(1, CALLER, bytes(text)) if text else []
    assert len(actions) <= 1
    assert len(proxy.store.contexts) <= 1


@pytest.mark.parametrize(
    ("retransmitted", "result"),
    [(False, AttemptResult.CONNECT_FAILED), (True, AttemptResult.RESET)],
)
def test_refused_datagram_means_request_never_ran_only_if_it_was_the_only_one(
    proxy, retransmitted, result
):
    """A refusal affects only the request of its datagram.

    After a retransmission the server may have received the earlier datagram before it died.
    """
    now = 1
    proxy.servers["s0"] = SERVER
    sent = []
    for number in (1, 2):
        request = altered(("z9hG4bK1", f"z9hG4bK{number}"), ("c1", f"c{number}"))
        (posted,) = proxy.message_received(now, CALLER, request)
        sent += proxy.carry_out(now, SendAttempt(posted.event.request_id, "s0", 5_000_000))
    if retransmitted:
        assert len(proxy.fire_timers(now + T1_US)) == 2
    ended = events(proxy.datagram_refused(now + T1_US, sent[0].data[:500]))
    assert [(event.request_id, event.result) for event in ended] == [(1, result)]
    assert proxy.datagram_refused(now + T1_US, b"SIP/2.0 200 OK\r\nVia: x;branch=y") == []
