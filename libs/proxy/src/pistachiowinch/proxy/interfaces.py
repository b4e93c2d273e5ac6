"""Interface of the gateway that the proxy uses."""

from typing import NamedTuple, Protocol

import reactivex
from returns.result import Result

from pistachiowinch.base.codes import Refusal
from pistachiowinch.links.targets import Failed, QueryResult
from pistachiowinch.routing.session import Session
from pistachiowinch.routing.statements import Statement

__all__ = ["Credentials", "Gateway"]


class Credentials(NamedTuple):
    """Owner and password hash of a key.

    :param customer: the customer that the key belongs to.
    :param password_hash: ``*`` and 40 hexadecimal digits, MySQL's native form.
    """

    customer: str
    password_hash: str


class Gateway(Protocol):
    """Runs the statements of callers' sessions."""

    def credentials(self, key_id: str) -> Credentials | None:
        """Return the credentials of a key, None if the key does not exist.

        :param key_id: the key's id.
        """

    async def open_session(self, key_id: str, service: str) -> Result[Session, Refusal]:
        """Open a session after the key was verified.

        :param key_id: the key's id; empty without a key, which only open routes accept.
        :param service: the database group.
        """

    async def execute(
        self, session: Session, statement: Statement
    ) -> Result[QueryResult, Refusal | Failed]:
        """Run one statement.

        :param session: the caller's session.
        :param statement: the statement.
        """

    async def reset_session(self, session: Session) -> None:
        """Roll back and clear connection state and settings; the token is kept.

        :param session: the caller's session.
        """

    async def close_session(self, session: Session) -> None:
        """End a session; an open transaction is rolled back.

        :param session: the caller's session.
        """

    @property
    def sessions_ended(self) -> reactivex.Observable[Session]:
        """Sessions that the gateway ended; :attr:`Session.end_reason` says why."""

    async def stop(self, grace_s: float) -> int:
        """Stop; no statement is running when this returns.

        :param grace_s: time that open transactions have to finish.
        :returns: number of transactions that were rolled back.
        """
