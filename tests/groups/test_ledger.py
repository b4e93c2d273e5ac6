"""Guards against interrupted writes that are lost, run twice or wrongly reported as not run."""

import asyncio

import pytest
import xxhash

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.confirmation import WriteConfirmer
from pistachiowinch.groups.ledger import (
    Ledger,
    LedgerEntry,
    NotRan,
    RanBefore,
    Undecided,
    statement_digest,
)
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.links.targets import Failed, QueryResult, ResultLost, Succeeded
from pistachiowinch.standins.database_group import FakeDatabaseGroup

pytestmark = pytest.mark.looptime
TARGETS = ("a", "b", "c")
SCHEMA = ("CREATE TABLE hire (id INT NOT NULL AUTO_INCREMENT PRIMARY KEY, request VARCHAR(64))",)
TEXT = "INSERT INTO hire (request) VALUES ('r1')"
ENTRY = LedgerEntry("tool-hire", "r1", statement_digest(TEXT))


class Harness:
    """One host's ledger over a group of fake targets."""

    def __init__(self):
        self.group = FakeDatabaseGroup("s", TARGETS, SCHEMA)
        self.view = self.group.view("h1")
        self.tracker = GroupTracker("s", TARGETS, self.view)
        confirmer = WriteConfirmer(self.tracker)
        self.ledger = Ledger(self.tracker, confirmer, self.view)
        self.task = None

    async def start(self):
        # Not in the fixture, which does not run on the virtual clock of the test.
        self.task = asyncio.create_task(self.tracker.run())
        await sleep_s(0.1)
        assert await self.ledger.ensure_table()
        await sleep_s(0.1)

    async def begin(self, target="a", entry=ENTRY):
        """Run the write up to its COMMIT."""
        connection = await self.view.connect(target)
        await connection.execute("BEGIN")
        outcome = await connection.execute(TEXT)
        text = self.ledger.insert_statement(entry, outcome.result)
        return connection, await connection.execute(text)

    async def decide(self, term=1, target="a", entry=ENTRY, limit_s=3.0):
        return await self.ledger.decide(entry, target, term, now_s() + limit_s)

    async def promote(self, target, term, others, is_following=True):
        view = self.group.view("h2")
        for name in (target, *others):
            await view.fence(name, term)
        await view.promote(target, term)
        for name in others if is_following else ():
            await view.follow(name, term, target)

    def applied(self, target):
        return len(self.group.rows(target, "SELECT id FROM hire"))


@pytest.fixture
async def harness():
    built = Harness()
    yield built
    if built.task is not None:
        built.task.cancel()
    await built.group.close()


async def test_lost_answer_with_the_primary_staying_returns_the_stored_answer(harness):
    await harness.start()
    connection, _ = await harness.begin()
    harness.group.lose_result("a")
    assert isinstance(await connection.execute("COMMIT"), ResultLost)
    found = await harness.decide()
    assert isinstance(found, RanBefore) and found.is_same_request
    assert (found.answer.affected_rows, found.answer.last_insert_id) == (1, 1)
    assert found.position >= harness.group.statuses()["a"].position


async def test_lost_answer_with_the_primary_replaced_finds_the_replicated_write(harness):
    await harness.start()
    connection, _ = await harness.begin()
    harness.group.lose_result("a")
    await connection.execute("COMMIT")
    await sleep_s(0.01)
    harness.group.crash("a", is_silent=True)
    await harness.promote("b", 50, ["c"])
    found = await harness.decide()
    assert isinstance(found, RanBefore) and found.term == 50


async def test_write_that_the_new_primary_lacks_never_runs(harness):
    await harness.start()
    connection, _ = await harness.begin()
    harness.group.cut("a", ["b", "c"])
    await connection.execute("COMMIT")
    assert harness.applied("a") == 1
    await harness.promote("b", 50, ["c"])
    assert await harness.decide() == NotRan(is_cancelled=False)
    harness.group.network.heal_all()
    await harness.group.view("h2").follow("a", 50, "b")
    await sleep_s(0.1)
    assert harness.applied("a") == harness.applied("b") == 0


async def test_absent_row_counts_only_when_a_majority_holds_the_newer_term(harness):
    """Only the new primary holds its term, so a later promotion can still choose the old target."""
    await harness.start()
    connection, _ = await harness.begin()
    harness.group.cut("a", ["b", "c"])
    await connection.execute("COMMIT")
    await harness.promote("b", 50, ["c"], is_following=False)
    assert isinstance(await harness.decide(limit_s=1.0), Undecided)
    harness.group.crash("b", is_silent=True)
    harness.group.network.heal_all()
    view = harness.group.view("h2")
    fenced = {target: (await view.fence(target, 60)).status for target in ("a", "c")}
    assert fenced["a"].position > fenced["c"].position
    await view.promote("a", 60)
    await view.follow("c", 60, "a")
    found = await harness.decide()
    assert isinstance(found, RanBefore) and found.term == 60


async def test_cancel_row_keeps_a_late_commit_from_running(harness):
    """The COMMIT waits at the target while the outcome is decided."""
    await harness.start()
    connection = await harness.view.connect("a")
    await connection.execute("BEGIN")
    await connection.execute(TEXT)
    assert await harness.decide() == NotRan(is_cancelled=True)
    outcome = await connection.execute(harness.ledger.insert_statement(ENTRY, QueryResult()))
    assert isinstance(outcome, Failed) and outcome.errno == 1062
    await connection.execute("ROLLBACK")
    assert harness.applied("a") == 0


async def test_cancel_row_waits_for_a_commit_under_way_and_then_collides(harness):
    await harness.start()
    connection, _ = await harness.begin()
    deciding = asyncio.create_task(harness.decide())
    await sleep_s(0.1)
    assert not deciding.done()
    await connection.execute("COMMIT")
    assert isinstance(await deciding, RanBefore)


async def test_cancel_row_after_the_writer_vanished_frees_nothing_and_reports_not_run(harness):
    await harness.start()
    connection, _ = await harness.begin()
    await connection.close()
    assert await harness.decide() == NotRan(is_cancelled=True)
    assert harness.applied("a") == 0


async def test_promotion_in_place_does_not_make_a_commit_under_way_look_impossible(harness):
    """The same target was promoted again, and the host did not notice that the term was newer."""
    await harness.start()
    await harness.promote("a", 50, ["b", "c"])
    connection, _ = await harness.begin()
    harness.group.slow_down("a", 1000.0)
    committing = asyncio.create_task(connection.execute("COMMIT"))
    await sleep_s(0.05)
    harness.group.slow_down("a", 1.0)
    await harness.tracker.refresh(TARGETS)
    assert harness.tracker.term == 50
    found = await harness.decide(term=1)
    await committing
    assert isinstance(found, RanBefore) == (harness.applied("a") == 1)
    assert isinstance(found, RanBefore)


async def test_two_hosts_that_decide_at_once_agree(harness):
    await harness.start()
    connection, _ = await harness.begin()
    other = Ledger(harness.tracker, harness.ledger._confirmer, harness.group.view("h2"))
    both = asyncio.gather(harness.decide(), other.decide(ENTRY, "a", 1, now_s() + 3.0))
    await sleep_s(0.02)
    await connection.close()
    assert await both == [NotRan(is_cancelled=True)] * 2


async def test_row_of_other_statements_is_reported_as_such(harness):
    await harness.start()
    connection, _ = await harness.begin()
    assert isinstance(await connection.execute("COMMIT"), Succeeded)
    found = await harness.decide(entry=ENTRY._replace(digest=statement_digest("DELETE FROM hire")))
    assert isinstance(found, RanBefore) and not found.is_same_request


async def test_no_reachable_primary_leaves_the_outcome_undecided(harness):
    await harness.start()
    harness.group.crash("a", is_silent=True)
    started_s = now_s()
    assert isinstance(await harness.decide(limit_s=1.5), Undecided)
    assert now_s() - started_s <= 1.6


async def test_host_paused_during_the_look_up_gives_no_outdated_outcome(harness):
    await harness.start()
    connection, _ = await harness.begin()
    harness.group.cut("a", ["b", "c"])
    await connection.execute("COMMIT")
    deciding = asyncio.create_task(harness.decide(limit_s=10.0))
    await sleep_s(0.013)
    harness.group.network.pause_host("h1")
    await harness.promote("b", 50, ["c"])
    await sleep_s(2.0)
    harness.group.network.resume_host("h1")
    assert await deciding == NotRan(is_cancelled=False)
    assert harness.applied("b") == 0


@pytest.mark.parametrize(
    "name",
    ["plain", "it's", 'dou"ble', "back\\slash", "\x00\n%_", "Zürich ü", "'; DROP TABLE hire; --"],
)
async def test_any_name_and_request_id_is_quoted_safely(harness, name):
    await harness.start()
    entry = LedgerEntry(name, name, statement_digest(name))
    _, outcome = await harness.begin(entry=entry)
    assert isinstance(outcome, Succeeded)
    connection = await harness.view.connect("a")
    await connection.execute(
        harness.ledger.insert_statement(entry._replace(request_id="x"), QueryResult())
    )
    text = harness.ledger.lookup_statement(entry._replace(request_id="x"))
    row = harness.ledger.parse_row((await connection.execute(text)).result)
    assert row.digest == entry.digest and not row.is_cancelled


def test_digest_separates_statements():
    assert statement_digest("ab", "c") != statement_digest("a", "bc")
    assert statement_digest("ab") == statement_digest("ab")


def test_statements_with_equal_short_hashes_have_different_digests():
    """A write constructed for the hash of another one was answered as if it had run."""
    first = bytearray(b"INSERT INTO hire VALUES ('" + b"a" * 1372 + b"')")
    # The hash multiplies these words by the same number, so that opposite changes cancel out.
    first[80:84], first[144:148] = b" @@@", b"icvs"
    second = bytearray(first)
    first[84], second[148] = b"``"
    texts = [text.decode() for text in (first, second)]
    sizes = [len(text).to_bytes(8, "big") for text in texts]
    hashes = [xxhash.xxh3_128_digest(n + t.encode()) for n, t in zip(sizes, texts, strict=True)]
    assert texts[0] != texts[1] and hashes[0] == hashes[1]
    assert statement_digest(texts[0]) != statement_digest(texts[1])


async def test_clean_up_removes_only_rows_older_than_a_day(harness):
    await harness.start()
    connection = await harness.view.connect("a")
    for number in range(3):
        entry = ENTRY._replace(request_id=f"old-{number}")
        await connection.execute(harness.ledger.insert_statement(entry, QueryResult()))
    harness.task.cancel()
    await sleep_s(24 * 3600 - 60)
    await connection.execute(harness.ledger.insert_statement(ENTRY, QueryResult()))
    assert await harness.ledger.clean_up() == 0
    await sleep_s(120)
    assert await harness.ledger.clean_up() == 3
    assert harness.group.rows("a", "SELECT COUNT(*) FROM pistachiowinch_ledger") == [(1,)]


async def test_missing_table_is_created_by_the_look_up(harness):
    await harness.tracker.refresh(TARGETS)
    assert await harness.decide() == NotRan(is_cancelled=True)
