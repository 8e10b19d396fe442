"""Records: which of two claims about a member supersedes the other."""

import msgspec
import pytest

from oakbridge.peers.messages import MemberRecord, MemberState

RECORD = MemberRecord("b", "127.0.0.1:1", 5, 9, 2, MemberState.ALIVE, "", 2, {"site": "x"})


@pytest.mark.parametrize(
    ("older", "newer"),
    [
        (RECORD, RECORD.with_state(MemberState.SUSPECT, "c")),
        (RECORD.with_state(MemberState.SUSPECT, "c"), RECORD.with_state(MemberState.FAILED, "c")),
        (RECORD.with_state(MemberState.FAILED), RECORD.with_state(MemberState.LEFT)),
        (RECORD.with_state(MemberState.FAILED), msgspec.structs.replace(RECORD, incarnation=3)),
        (
            RECORD.with_state(MemberState.LEFT),
            msgspec.structs.replace(RECORD, generation=6, incarnation=0),
        ),
        (RECORD, msgspec.structs.replace(RECORD, token=10, incarnation=0)),
    ],
)
def test_which_claim_supersedes(older, newer):
    assert newer.supersedes(older)
    assert not older.supersedes(newer)
    assert not newer.supersedes(newer)
