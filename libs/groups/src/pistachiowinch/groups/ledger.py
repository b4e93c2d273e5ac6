"""Ledger of executed requests, a table in the service's own database.

Its rows decide whether an interrupted write ran.
"""

import asyncio
import hashlib
from typing import Any, NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.logs import part_logger
from pistachiowinch.groups.confirmation import Confirmed, Replaced, WriteConfirmer
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.links.targets import (
    ExecuteOutcome,
    Failed,
    QueryResult,
    Succeeded,
    TargetConnection,
    TargetLink,
    TargetUnreachable,
)

__all__ = [
    "ERRNO_DUPLICATE_ENTRY",
    "LEDGER_TABLE",
    "Decision",
    "Ledger",
    "LedgerEntry",
    "LedgerRow",
    "NotRan",
    "RanBefore",
    "Undecided",
    "statement_digest",
]

LEDGER_TABLE = "pistachiowinch_ledger"
ERRNO_DUPLICATE_ENTRY = 1062
_ERRNO_NO_SUCH_TABLE = 1146

_RETENTION_S = 24 * 3600
_CLEAN_UP_BATCH_ROWS = 500
# The ledger's column holds their 64 hexadecimal digits.
DIGEST_BYTES = 32
_CLEAN_UP_PAUSE_S = 0.1
_RETRY_DELAY_S = 0.02
# A look-up is one indexed read; a connection that takes longer to answer is closed.
_EXCHANGE_TIMEOUT_S = 1.0

_STATE_RAN = "ran"
_STATE_CANCELLED = "cancelled"

_log = part_logger("ledger")


class LedgerEntry(NamedTuple):
    """Identity of one request.

    :param customer: the customer's name.
    :param request_id: the caller's id, or a generated one.
    :param digest: digest of the statements, from :func:`statement_digest`.
    """

    customer: str
    request_id: str
    digest: str


class LedgerRow(NamedTuple):
    """A row of the ledger as read from the primary."""

    digest: str
    is_cancelled: bool
    affected_rows: int
    last_insert_id: int


class RanBefore(NamedTuple):
    """The write ran.

    :param answer: the stored answer.
    :param term: term in which a majority holds the row.
    :param position: position at or past the write.
    :param started_s: loop time of the confirmation, as in ``Confirmed``.
    :param is_same_request: false if the row belongs to other statements with the same id.
    """

    answer: QueryResult
    term: int
    position: int
    started_s: float
    is_same_request: bool = True


class NotRan(NamedTuple):
    """The write did not run and never will.

    :param is_cancelled: whether a cancelled row occupies the request id, so that a retry needs
        another id.
    """

    is_cancelled: bool


class Undecided(NamedTuple):
    """It is not known whether the write ran."""

    reason: str


Decision = RanBefore | NotRan | Undecided


def statement_digest(*texts: str) -> str:
    """Return a digest of a request's statements.

    Callers choose the texts, so only a cryptographic digest tells two requests apart.

    :param texts: the statements in order.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in texts:
        encoded = text.encode("utf-8", "surrogatepass")
        state.update(len(encoded).to_bytes(8, "big"))
        state.update(encoded)
    return state.hexdigest()


def _literal(text: str) -> str:
    """Quote a value as a hexadecimal literal, which no SQL mode or character set can break."""
    return f"X'{text.encode('utf-8', 'surrogatepass').hex()}'"


def _text(value: Any) -> str:
    return value.decode() if isinstance(value, bytes | bytearray) else str(value)


class Ledger:
    """Builds the statements on the ledger table and decides the outcome of writes.

    :param tracker: knows the current primary.
    :param confirmer: confirms what was read.
    :param link: opens connections for look-ups.
    """

    def __init__(self, tracker: GroupTracker, confirmer: WriteConfirmer, link: TargetLink) -> None:
        """Open separate connections for look-ups, because those of the pools may be blocked."""
        self._tracker = tracker
        self._confirmer = confirmer
        self._link = link

    # Statements ---------------------------------------------------------------------------------

    @staticmethod
    def create_table_statement() -> str:
        """Return the statement that creates the table if it is missing."""
        return (
            f"CREATE TABLE IF NOT EXISTS {LEDGER_TABLE} ("
            "customer VARBINARY(255) NOT NULL, request_id VARBINARY(255) NOT NULL, "
            "digest VARBINARY(64) NOT NULL, state VARCHAR(16) NOT NULL, "
            "affected_rows BIGINT UNSIGNED NOT NULL, last_insert_id BIGINT UNSIGNED NOT NULL, "
            "created_at_ms BIGINT UNSIGNED NOT NULL, "
            "PRIMARY KEY (customer, request_id), KEY created_at (created_at_ms)) ENGINE=InnoDB"
        )

    @staticmethod
    def _insert(entry: LedgerEntry, state: str, affected_rows: int, last_insert_id: int) -> str:
        return (
            f"INSERT INTO {LEDGER_TABLE} (customer, request_id, digest, state, affected_rows, "
            f"last_insert_id, created_at_ms) VALUES ({_literal(entry.customer)}, "
            f"{_literal(entry.request_id)}, {_literal(entry.digest)}, '{state}', "
            f"{int(affected_rows)}, {int(last_insert_id)}, UNIX_TIMESTAMP() * 1000)"
        )

    def insert_statement(self, entry: LedgerEntry, answer: QueryResult) -> str:
        """Return the statement that records a write within the write's own transaction.

        :param entry: the request.
        :param answer: the write's answer, stored for repeated requests.
        """
        return self._insert(entry, _STATE_RAN, answer.affected_rows, answer.last_insert_id)

    def cancel_statement(self, entry: LedgerEntry) -> str:
        """Return the statement whose row prevents an interrupted write from committing."""
        return self._insert(entry, _STATE_CANCELLED, 0, 0)

    def lookup_statement(self, entry: LedgerEntry) -> str:
        """Return the statement that reads a request's row."""
        return (
            f"SELECT digest, state, affected_rows, last_insert_id FROM {LEDGER_TABLE} "
            f"WHERE customer = {_literal(entry.customer)} "
            f"AND request_id = {_literal(entry.request_id)}"
        )

    @staticmethod
    def clean_up_statement() -> str:
        """Return the statement that removes one batch of rows past their retention of 24 h."""
        return (
            f"DELETE FROM {LEDGER_TABLE} WHERE created_at_ms < "
            f"(UNIX_TIMESTAMP() - {_RETENTION_S}) * 1000 LIMIT {_CLEAN_UP_BATCH_ROWS}"
        )

    @staticmethod
    def parse_row(answer: QueryResult) -> LedgerRow | None:
        """Read the answer to :meth:`lookup_statement`.

        :returns: None if there is no row.
        """
        if not answer.rows:
            return None
        digest, state, affected_rows, last_insert_id = answer.rows[0]
        is_cancelled = _text(state) == _STATE_CANCELLED
        return LedgerRow(_text(digest), is_cancelled, int(affected_rows), int(last_insert_id))

    # Decisions ----------------------------------------------------------------------------------

    async def decide(
        self, entry: LedgerEntry, target: str, term: int, deadline_s: float
    ) -> Decision:
        """Find out whether an interrupted write ran, and make sure that the outcome is final.

        :param entry: the request.
        :param target: the target that the write was sent to.
        :param term: its term before the write.
        :param deadline_s: loop time.
        """
        reason = "no primary is known"
        while now_s() < deadline_s:
            primary, current_term = self._tracker.primary, self._tracker.term
            if primary is None or current_term < term:
                await self._tracker.wait_for_change(deadline_s)
                continue
            # The write's transaction may have started in the newer term if the same target was
            # promoted again and the host learned of it late. Only a cancelled row keeps such a
            # transaction from committing.
            is_cancel_needed = current_term == term or primary == target
            found = await self._attempt(entry, primary, current_term, is_cancel_needed, deadline_s)
            if not isinstance(found, Undecided):
                return found
            reason = found.reason
            self._tracker.report_lost_connection(primary)
            await sleep_s(min(_RETRY_DELAY_S, max(deadline_s - now_s(), 0.0)))
        return Undecided(reason)

    async def _attempt(
        self,
        entry: LedgerEntry,
        primary: str,
        term: int,
        is_cancel_needed: bool,
        deadline_s: float,
    ) -> Decision:
        try:
            async with asyncio.timeout_at(min(deadline_s, now_s() + _EXCHANGE_TIMEOUT_S)):
                connection = await self._link.connect(primary)
        except (TimeoutError, TargetUnreachable):
            return Undecided(f"{primary} cannot be reached")
        try:
            async with asyncio.timeout_at(min(deadline_s, now_s() + 2 * _EXCHANGE_TIMEOUT_S)):
                row = await self._read_or_cancel(connection, entry, is_cancel_needed)
        except TimeoutError:
            return Undecided(f"{primary} did not answer the look-up")
        finally:
            await connection.close()
        if isinstance(row, Undecided):
            return row
        # The row is valid only if this primary was still current after the read. For an absent
        # row, the confirmation also shows that a majority holds an entry of the newer term.
        # Otherwise a later promotion could choose an old target that has the write.
        confirmation = await self._confirmer.confirm(primary, term, deadline_s)
        match confirmation:
            case Confirmed():
                return self._conclude(entry, row, confirmation)
            case Replaced(newer_term):
                return Undecided(f"the primary was replaced by term {newer_term:#x}")
            case _:
                return Undecided(f"the row's outcome is not confirmed: {confirmation.reason}")

    async def _read_or_cancel(
        self, connection: TargetConnection, entry: LedgerEntry, is_cancel_needed: bool
    ) -> LedgerRow | Undecided | None:
        row = await self._read(connection, entry)
        if row is not None or not is_cancel_needed:
            return row
        outcome = await connection.execute(self.cancel_statement(entry))
        match outcome:
            case Succeeded():
                return LedgerRow(entry.digest, True, 0, 0)
            case Failed(errno=errno) if errno == ERRNO_DUPLICATE_ENTRY:
                # Since the look-up the write has committed or another host has cancelled it.
                found = await self._read(connection, entry)
                return found or Undecided("the colliding row disappeared")
            case _:
                return _undecided(outcome)

    async def _read(
        self, connection: TargetConnection, entry: LedgerEntry
    ) -> LedgerRow | Undecided | None:
        outcome = await connection.execute(self.lookup_statement(entry))
        if isinstance(outcome, Failed) and outcome.errno == _ERRNO_NO_SUCH_TABLE:
            await connection.execute(self.create_table_statement())
            outcome = await connection.execute(self.lookup_statement(entry))
        if isinstance(outcome, Succeeded):
            return self.parse_row(outcome.result)
        return _undecided(outcome)

    @staticmethod
    def _conclude(
        entry: LedgerEntry, row: LedgerRow | None, confirmed: Confirmed
    ) -> RanBefore | NotRan:
        if row is None or row.is_cancelled:
            return NotRan(is_cancelled=row is not None)
        answer = QueryResult(
            affected_rows=row.affected_rows,
            last_insert_id=row.last_insert_id,
            term=confirmed.term,
            position=confirmed.position,
        )
        return RanBefore(
            answer,
            confirmed.term,
            confirmed.position,
            confirmed.started_s,
            is_same_request=row.digest == entry.digest,
        )

    # Maintenance --------------------------------------------------------------------------------

    async def _execute_at_primary(self, text: str) -> ExecuteOutcome | None:
        primary = self._tracker.primary
        if primary is None:
            return None
        try:
            connection = await self._link.connect(primary)
        except TargetUnreachable:
            return None
        try:
            async with asyncio.timeout(_EXCHANGE_TIMEOUT_S):
                return await connection.execute(text)
        except TimeoutError:
            return None
        finally:
            await connection.close()

    async def ensure_table(self) -> bool:
        """Create the table at the primary if it is missing.

        :returns: whether it exists.
        """
        found = await self._execute_at_primary(f"SELECT state FROM {LEDGER_TABLE} LIMIT 1")
        if isinstance(found, Failed) and found.errno == _ERRNO_NO_SUCH_TABLE:
            found = await self._execute_at_primary(self.create_table_statement())
        return isinstance(found, Succeeded)

    async def clean_up(self) -> int:
        """Remove rows past their retention in batches.

        :returns: number of removed rows.
        """
        removed = 0
        while True:
            outcome = await self._execute_at_primary(self.clean_up_statement())
            if not isinstance(outcome, Succeeded):
                _log.warning("the clean-up of the ledger table did not finish")
                return removed
            removed += outcome.result.affected_rows
            if outcome.result.affected_rows < _CLEAN_UP_BATCH_ROWS:
                return removed
            await sleep_s(_CLEAN_UP_PAUSE_S)


def _undecided(outcome: ExecuteOutcome) -> Undecided:
    detail = outcome.message if isinstance(outcome, Failed) else "the connection broke"
    return Undecided(f"the look-up failed: {detail}")
