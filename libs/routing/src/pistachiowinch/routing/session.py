"""State of one caller's session."""

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
    """Target connection that belongs to one session until it is released.

    :param connection: the connection.
    :param target: name of the target.
    :param term: primary's term when the connection was pinned.
    :param leave_gate: tells the primary's gate that the transaction has ended; None outside it.
    :param has_written: whether the open transaction changed data.
    :param is_in_transaction: whether a transaction is open, as opposed to kept connection state.
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
        """Note that the gate counts another transaction on the same connection.

        :param leave_gate: tells the gate that the transaction has ended.
        """
        self._leave_gate = leave_gate

    def leave_gate(self) -> None:
        """Let a planned switch go on; leaving again has no effect."""
        if self._leave_gate is not None:
            self._leave_gate()
            self._leave_gate = None


class Session:
    """One caller's session on this host.

    :param key_id: id of the caller's key; empty on an open route.
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
        """The token for the caller; empty before the first write."""
        return "" if self.token is None else encode_token(self.token)

    def advance_token(self, token: SessionToken) -> None:
        """Raise the token; an older one changes nothing.

        :param token: position of a write that the session made.
        """
        if self.token is None or token.order > self.token.order:
            self.token = token

    def set_token(self, text: str) -> Result[None, Refusal]:
        """Take over a token that the caller carried from another host.

        :param text: an encoded token; empty text changes nothing.
        :returns: :data:`BAD_TOKEN` if it is damaged or of another service.
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
        """Accept reads of this age.

        :param value_ms: milliseconds; 0 turns stale reads off.
        """
        if not 0 <= value_ms <= MAX_STALENESS_LIMIT_MS:
            limit = f"must be from 0 to {MAX_STALENESS_LIMIT_MS}"
            return Failure(Refusal(BAD_SESSION_SETTING, f"pistachiowinch_max_staleness_ms {limit}"))
        self.max_staleness_ms = value_ms or None
        return Success(None)
