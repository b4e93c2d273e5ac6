"""Guards against a host that reports complete answers after it may have dropped tokens."""

import pytest

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.base.tokens import SessionToken
from pistachiowinch.gateway import session_tokens
from pistachiowinch.gateway.session_tokens import SessionTokens
from pistachiowinch.routing.session import Session
from pistachiowinch.standins.peer_network import PeerNetwork

pytestmark = pytest.mark.looptime


class Roster:
    """Two members; none has ever left."""

    members = tuple(HostIdentity(host, 1, "zone-1", "") for host in ("a", "b"))
    stable_since_s = -1e9


def _named(name, token=None):
    session = Session("key-1", "menghina", "hire")
    session.name, session.token = name, token
    return session


def _pair():
    network = PeerNetwork(1)
    return [SessionTokens(host, network.link(host), Roster()) for host in ("a", "b")]


async def test_new_host_is_doubtful_for_the_retention_time():
    """Guards against a restarted host that no longer holds the token of a write."""
    first, _ = _pair()
    session = _named("s")
    await first.recover(session)
    assert session.is_token_doubtful
    await sleep_s(session_tokens.NAME_RETENTION_S)
    await first.recover(session)
    assert not session.is_token_doubtful and session.token is None
    assert session.max_staleness_ms == session_tokens.NAME_RETENTION_S * 1000


async def test_newest_of_all_tokens_is_taken():
    """Guards against an older token of another host that hides the newest write."""
    first, second = _pair()
    newest = SessionToken("hire", 3, 1)
    first.record(_named("s", SessionToken("hire", 2, 9)))
    second.record(_named("s", newest))
    second.record(_named("s", SessionToken("hire", 2, 50)))
    for host in (first, second):
        session = _named("s")
        await host.recover(session)
        assert session.token == newest


async def test_dropped_name_makes_answers_incomplete(monkeypatch):
    """Guards against a complete answer of a host that dropped a recent name to stay in bounds."""
    monkeypatch.setattr(session_tokens, "MAX_NAMES", 2)
    first, second = _pair()
    await sleep_s(session_tokens.NAME_RETENTION_S)
    for name in ("s-1", "s-2", "s-3"):
        first.record(_named(name, SessionToken("hire", 2, 5)))
    dropped_s = now_s()
    session = _named("s-1")
    await second.recover(session)
    assert session.is_token_doubtful and session.token is None
    await sleep_s(dropped_s + session_tokens.NAME_RETENTION_S - now_s())
    await second.recover(session)
    assert not session.is_token_doubtful


async def test_old_tokens_are_dropped():
    """Guards against memory that grows with every name that was ever used."""
    first, _ = _pair()
    first.record(_named("s-1", SessionToken("hire", 2, 5)))
    await sleep_s(session_tokens.NAME_RETENTION_S + 1.0)
    first.record(_named("s-2", SessionToken("hire", 2, 6)))
    assert len(first._tokens) == 1
