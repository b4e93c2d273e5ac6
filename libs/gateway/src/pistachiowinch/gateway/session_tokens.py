"""Finds the newest token of a named session that reconnected without one."""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

import msgspec

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.tokens import SessionToken
from pistachiowinch.gateway.interfaces import RosterView
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.routing.session import Session

__all__ = ["NAME_RETENTION_S", "SessionTokens", "TokenAnswer", "TokenQuestion"]

NAME_RETENTION_S = 600.0
MAX_NAMES = 100_000
_QUESTION_TIMEOUT_S = 0.2


class TokenQuestion(msgspec.Struct, tag="tokenq", array_like=True, frozen=True):
    """Question for the newest token of a named session."""

    customer: str
    service: str
    name: str


class TokenAnswer(msgspec.Struct, tag="tokena", array_like=True, frozen=True):
    """Newest token of a named session at one host.

    :param term: 0 if the host remembers no write of the session.
    :param is_complete: whether the host has forgotten no name of the retention time.
    """

    term: int
    position: int
    is_complete: bool


class _Remembered(NamedTuple):
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
        self._names: OrderedDict[tuple[str, str, str], _Remembered] = OrderedDict()
        self._incomplete_until_s = now_s() + NAME_RETENTION_S
        peers.on_request(TokenQuestion, TokenAnswer, self._answer)

    def remember(self, session: Session) -> None:
        """Keep the session's newest token under its name.

        :param session: a session that has just written; one without a name is ignored.
        """
        if session.name is None or session.token is None:
            return
        key = (session.customer, session.service, session.name)
        known = self._names.get(key)
        if known is not None and known.token.order > session.token.order:
            return
        self._names[key] = _Remembered(session.token, now_s())
        self._names.move_to_end(key)
        self._forget_old()

    async def recover(self, session: Session) -> None:
        """Give a named session the newest token that any host remembers.

        If some host may have forgotten a write, the session's reads are served by a confirmed
        primary until it writes again.

        :param session: a session with a name, just connected or renamed.
        """
        question = TokenQuestion(session.customer, session.service, session.name or "")
        peers = [member.host for member in self._roster.members if member.host != self._host]
        answers = await asyncio.gather(*(self._ask(peer, question) for peer in peers))
        answers.append(self._lookup(question))
        for answer in answers:
            if answer is not None and answer.term:
                token = SessionToken(session.service, answer.term, answer.position)
                session.advance_token(token)
        is_certain = all(answer is not None and answer.is_complete for answer in answers)
        is_stable = now_s() - self._roster.stable_since_s >= NAME_RETENTION_S
        session.is_token_doubtful = not (is_certain and is_stable)
        if not session.is_token_doubtful and session.token is None:
            # A write that nobody remembers is at least this old.
            limit_ms = int(NAME_RETENTION_S * 1000)
            session.max_staleness_ms = min(session.max_staleness_ms or limit_ms, limit_ms)

    async def _ask(self, peer: str, question: TokenQuestion) -> TokenAnswer | None:
        try:
            answer = await self._peers.request(peer, question, _QUESTION_TIMEOUT_S)
        except PeerUnreachable:
            return None
        return answer if isinstance(answer, TokenAnswer) else None

    async def _answer(self, sender: str, question: msgspec.Struct) -> msgspec.Struct:
        return self._lookup(question)

    def _lookup(self, question: TokenQuestion) -> TokenAnswer:
        key = (question.customer, question.service, question.name)
        is_complete = now_s() >= self._incomplete_until_s
        known = self._names.get(key)
        if known is None:
            return TokenAnswer(0, 0, is_complete)
        return TokenAnswer(known.token.term, known.token.position, is_complete)

    def _forget_old(self) -> None:
        oldest_kept_s = now_s() - NAME_RETENTION_S
        while self._names:
            key, known = next(iter(self._names.items()))
            if known.written_s >= oldest_kept_s:
                break
            del self._names[key]
        if len(self._names) > MAX_NAMES:
            _, dropped = self._names.popitem(last=False)
            self._incomplete_until_s = max(
                self._incomplete_until_s, dropped.written_s + NAME_RETENTION_S
            )
