"""Recovers the newest token of a named session that reconnected without one."""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

import msgspec

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.tokens import SessionToken
from pistachiowinch.gateway.interfaces import RosterView
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.routing.session import Session

__all__ = ["NAME_RETENTION_S", "SessionTokens", "TokenReply", "TokenRequest"]

NAME_RETENTION_S = 600.0
MAX_NAMES = 100_000
_REQUEST_TIMEOUT_S = 0.2


class TokenRequest(msgspec.Struct, tag="tokenq", array_like=True, frozen=True):
    """Asks for the newest token of a named session."""

    customer: str
    service: str
    name: str


class TokenReply(msgspec.Struct, tag="tokena", array_like=True, frozen=True):
    """Newest token of a named session at one host.

    :param term: 0 if the host holds no token of the session.
    :param is_complete: whether the host still holds every token of the retention time.
    """

    term: int
    position: int
    is_complete: bool


class _StoredToken(NamedTuple):
    token: SessionToken
    written_s: float


class SessionTokens:
    """Tokens of named sessions that wrote through this host.

    :param host: this host's name.
    """

    def __init__(self, host: str, peers: PeerLink, roster: RosterView) -> None:
        """Start empty; answers are incomplete until one retention time has passed."""
        self._host = host
        self._peers = peers
        self._roster = roster
        self._tokens: OrderedDict[tuple[str, str, str], _StoredToken] = OrderedDict()
        self._incomplete_until_s = now_s() + NAME_RETENTION_S
        peers.on_request(TokenRequest, TokenReply, self._answer)

    def record(self, session: Session) -> None:
        """Keep the session's newest token under its name.

        :param session: a session that has just written; one without a name is ignored.
        """
        if session.name is None or session.token is None:
            return
        key = (session.customer, session.service, session.name)
        stored = self._tokens.get(key)
        if stored is not None and stored.token.order > session.token.order:
            return
        self._tokens[key] = _StoredToken(session.token, now_s())
        self._tokens.move_to_end(key)
        self._drop_old()

    async def recover(self, session: Session) -> None:
        """Give a named session the newest token that any host holds.

        If a host may have dropped the token of a write, the session's reads are served by a
        confirmed primary until it writes again.

        :param session: a session with a name, just connected or renamed.
        """
        request = TokenRequest(session.customer, session.service, session.name or "")
        peers = [member.host for member in self._roster.members if member.host != self._host]
        answers = await asyncio.gather(*(self._ask(peer, request) for peer in peers))
        answers.append(self._lookup(request))
        for answer in answers:
            if answer is not None and answer.term:
                token = SessionToken(session.service, answer.term, answer.position)
                session.advance_token(token)
        has_complete_answers = all(answer is not None and answer.is_complete for answer in answers)
        is_stable = now_s() - self._roster.stable_since_s >= NAME_RETENTION_S
        session.is_token_doubtful = not (has_complete_answers and is_stable)
        if not session.is_token_doubtful and session.token is None:
            # A write whose token no host holds any more is at least this old.
            limit_ms = int(NAME_RETENTION_S * 1000)
            session.max_staleness_ms = min(session.max_staleness_ms or limit_ms, limit_ms)

    async def _ask(self, peer: str, request: TokenRequest) -> TokenReply | None:
        try:
            answer = await self._peers.request(peer, request, _REQUEST_TIMEOUT_S)
        except PeerUnreachable:
            return None
        return answer if isinstance(answer, TokenReply) else None

    async def _answer(self, sender: str, request: msgspec.Struct) -> msgspec.Struct:
        return self._lookup(request)

    def _lookup(self, request: TokenRequest) -> TokenReply:
        key = (request.customer, request.service, request.name)
        is_complete = now_s() >= self._incomplete_until_s
        stored = self._tokens.get(key)
        if stored is None:
            return TokenReply(0, 0, is_complete)
        return TokenReply(stored.token.term, stored.token.position, is_complete)

    def _drop_old(self) -> None:
        oldest_kept_s = now_s() - NAME_RETENTION_S
        while self._tokens:
            key, stored = next(iter(self._tokens.items()))
            if stored.written_s >= oldest_kept_s:
                break
            del self._tokens[key]
        if len(self._tokens) > MAX_NAMES:
            _, dropped = self._tokens.popitem(last=False)
            self._incomplete_until_s = max(
                self._incomplete_until_s, dropped.written_s + NAME_RETENTION_S
            )
