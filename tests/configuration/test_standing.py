"""Guards against each kind of evidence that proves less than it seems to."""

import pytest
from reactivex.subject import Subject

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.configuration.records import Roster, RosterRecord
from pistachiowinch.configuration.shares import Adoption, share_of
from pistachiowinch.configuration.standing import STANDING_LIMIT_S, Standing
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat

pytestmark = pytest.mark.looptime

A, B, C = (
    HostIdentity(name, number, "z", f"tcp://{name}:1") for number, name in enumerate("abc", 1)
)


class Heartbeats:
    """Fake for the part of the membership that the standing uses."""

    def __init__(self):
        self.heartbeats = Subject()

    def hear(self, member, evidence_s, epoch=1, version=0, pending=0):
        fields = (member.host, member.incarnation, 1, 1, 1, epoch, version, -1)
        beat = Heartbeat(*fields, config_pending=pending)
        self.heartbeats.on_next(ReceivedHeartbeat(beat, now_s(), evidence_s))


def state_of(record):
    state = SiteState("s", A)
    state.adopt_roster(record, 1)
    return state


def site():
    heard = Heartbeats()
    state = state_of(RosterRecord(1, (A, B, C)))
    return state, heard, Standing(state, heard)


async def test_evidence_from_a_majority_lasts_from_its_request():
    _, heard, standing = site()
    assert not standing.has_standing()
    heard.hear(B, now_s() - 1.0)
    assert standing.has_standing()
    await sleep_s(0.5)
    assert not standing.has_standing()


async def test_delayed_answer_is_no_fresh_evidence():
    _, heard, standing = site()
    heard.hear(B, now_s() - STANDING_LIMIT_S)
    heard.hear(C, None)
    assert not standing.has_standing()


async def test_other_incarnation_of_a_member_confirms_nothing():
    _, heard, standing = site()
    heard.hear(B._replace(incarnation=9), now_s())
    assert not standing.has_standing()
    assert not standing.has_majority()


@pytest.mark.parametrize("newer", [{"epoch": 2}, {"version": 1}, {"pending": 1}])
async def test_peer_with_newer_or_pending_versions_is_in_contact_but_confirms_nothing(newer):
    _, heard, standing = site()
    heard.hear(B, now_s(), **newer)
    assert not standing.has_standing()
    assert standing.has_majority()


async def test_host_with_a_patch_in_doubt_does_not_confirm_itself():
    state, heard, standing = site()
    assert state.add_in_doubt("x", 1, 0)
    await sleep_s(STANDING_LIMIT_S)
    heard.hear(B, now_s())
    assert not standing.has_standing()
    heard.hear(C, now_s())
    assert standing.has_standing()


async def test_patch_in_doubt_ends_by_a_later_revision_or_a_withdrawal_only():
    state, _, _ = site()
    state.note_head(1, 5)
    assert state.add_in_doubt("x", 2, 5)
    assert state.add_in_doubt("y", 2, 5)
    state.note_head(1, 5)
    assert set(state.in_doubt) == {"x", "y"}
    state.withdraw_in_doubt("x")
    assert set(state.in_doubt) == {"y"}
    state.note_head(2, 6)
    assert (state.in_doubt, state.config_pending) == ({}, 2)
    assert not state.add_in_doubt("z", 2, 5)


async def test_store_confirms_only_what_it_holds():
    _, _, standing = site()
    standing.note_store_read(now_s(), 2, 0)
    standing.note_store_read(now_s(), 1, 1)
    assert not standing.has_standing()
    standing.note_store_read(now_s(), 1, 0)
    assert standing.has_standing()
    assert not standing.has_majority()


async def test_old_roster_expires_only_after_a_majority_left_it_and_the_limit_passed():
    old = Roster(1, (A, B, C))
    state = state_of(RosterRecord(2, (A, B), (old,)))
    adoption = Adoption(state)
    adoption.update()
    await sleep_s(STANDING_LIMIT_S)
    assert adoption.unexpired_predecessors == (old,)
    adoption.note_heartbeat(Heartbeat("b", 9, 1, 0, 0, 2, 0, -1))
    adoption.note_heartbeat(Heartbeat("c", C.incarnation, 1, 0, 0, 1, 0, -1))
    await sleep_s(STANDING_LIMIT_S)
    assert adoption.unexpired_predecessors == (old,)
    adoption.note_heartbeat(Heartbeat("b", B.incarnation, 1, 0, 0, 2, 0, -1))
    await sleep_s(STANDING_LIMIT_S - 0.01)
    assert adoption.unexpired_predecessors == (old,)
    await sleep_s(0.02)
    assert adoption.unexpired_predecessors == ()


async def test_later_process_counts_for_its_predecessor_only_at_the_same_address():
    old = Roster(1, (A, B, C))
    for url, is_expired in ((B.peer_url, True), ("tcp://elsewhere:1", False)):
        later = B._replace(incarnation=8, peer_url=url)
        adoption = Adoption(state_of(RosterRecord(2, (A, later, C), (old,))))
        adoption.update()
        await sleep_s(STANDING_LIMIT_S)
        assert (adoption.unexpired_predecessors == ()) is is_expired


def test_share_is_the_least_over_all_rosters_and_nothing_outside_of_one():
    both, three = Roster(1, (A, B)), Roster(2, (A, B, C))
    assert share_of(A, (both, three)) == pytest.approx(1 / 3)
    assert share_of(A, (both,)) == 0.5
    assert share_of(C, (both, three)) == 0.0
    assert share_of(A._replace(incarnation=7), (both,)) == 0.0
