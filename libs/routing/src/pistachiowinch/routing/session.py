"""State of a caller's session and of the target connection that is pinned to it."""

import itertools
from collections.abc import Callable

from returns.result import Failure, Result, Success

from pistachiowinch.base.codes import BAD_SESSION_SETTING, BAD_TOKEN, Refusal
from pistachiowinch.base.tokens import SessionToken, decode_token, encode_token
from pistachiowinch.links.targets import TargetConnection

__all__ = ["MAX_SESSION_NAME_CHARS", "MAX_STALENESS_LIMIT_MS", "PinnedConnection", "Session"]

MAX_STALENESS_LIMIT_MS = 3_600_000
MAX_SESSION_NAME_CHARS = 128

_session_numbers = itertools.count(1)


class PinnedConnection:
    """Target connection that is reserved for one session until it is released.

    :param connection: the connection.
    :param target: name of the target.
    :param term: the primary's term when the connection was pinned.
    :param leave_gate: notifies the primary's gate that the transaction has ended; None if the gate
        does not count the transaction.
    :param has_written: whether the open transaction has changed data.
    :param is_in_transaction: whether a transaction is open; without one, the connection is pinned
        for its session state alone.
    """

    def __init__(
        self,
        connection: TargetConnection,
        target: str,
        term: int,
        leave_gate: Callable[[], None] | None = None,
    ) -> None:
        """Start without an open transaction."""
        self._leave_gate = leave_gate
        self.connection = connection
        self.target = target
        self.term = term
        self.has_written = False
        self.is_in_transaction = False
        self.has_state = False
        self.request_id: str | None = None
        self.statement_texts: list[str] = []

    @property
    def is_in_gate(self) -> bool:
        """Whether the primary's gate counts this transaction."""
        return self._leave_gate is not None

    def enter_gate(self, leave_gate: Callable[[], None]) -> None:
        """Record that the gate counts another transaction on the same connection.

        :param leave_gate: notifies the gate that the transaction has ended.
        """
        self._leave_gate = leave_gate

    def leave_gate(self) -> None:
        """Notify the gate that the transaction has ended; a second call has no effect.

        A planned switchover waits for this.
        """
        if self._leave_gate is not None:
            self._leave_gate()
            self._leave_gate = None


class Session:
    """One caller's session on this host.

    :param key_id: id of the caller's key; empty without a key.
    :param customer: the customer that the key belongs to.
    :param service: the database group.
    """

    def __init__(self, key_id: str, customer: str, service: str) -> None:
        """Start with an empty token and no settings."""
        self.number = next(_session_numbers)
        self.key_id = key_id
        self.customer = customer
        self.service = service
        self.name: str | None = None
        self.resolved_name: str | None = None
        self.authorized_version: int | None = None
        self.token: SessionToken | None = None
        self.max_staleness_ms: int | None = None
        self.is_token_doubtful = False
        self.pinned: PinnedConnection | None = None
        self.is_busy = False
        self.end_reason: Refusal | None = None

    @property
    def is_in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.pinned is not None and self.pinned.is_in_transaction

    @property
    def token_text(self) -> str:
        """The encoded token for the caller; empty before the first write."""
        return "" if self.token is None else encode_token(self.token)

    def advance_token(self, token: SessionToken) -> None:
        """Advance the token; an older one has no effect.

        :param token: position of a write of the session.
        """
        if self.token is None or token.order > self.token.order:
            self.token = token

    def set_token(self, text: str) -> Result[None, Refusal]:
        """Advance the token to one that the caller got from another host.

        :param text: an encoded token; an empty text has no effect.
        :returns: a refusal with :data:`BAD_TOKEN` if the token is damaged or belongs to another
            service.
        """
        if not text:
            return Success(None)
        match decode_token(text):
            case Success(token):
                if token.service != self.service:
                    return Failure(Refusal(BAD_TOKEN, "the token belongs to another service"))
                self.advance_token(token)
                return Success(None)
            case failure:
                return failure.map(lambda _: None)

    def set_max_staleness_ms(self, value_ms: int) -> Result[None, Refusal]:
        """Set the staleness bound of the session's reads.

        :param value_ms: milliseconds; 0 removes the bound.
        :returns: a refusal with :data:`BAD_SESSION_SETTING` if the value is out of range.
        """
        if not 0 <= value_ms <= MAX_STALENESS_LIMIT_MS:
            limit = f"must be from 0 to {MAX_STALENESS_LIMIT_MS}"
            return Failure(Refusal(BAD_SESSION_SETTING, f"pistachiowinch_max_staleness_ms {limit}"))
        self.max_staleness_ms = value_ms or None
        return Success(None)
