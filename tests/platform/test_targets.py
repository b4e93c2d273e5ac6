"""Guards against incomplete answers and undetected timeouts on connections to targets."""

import pytest
from platform_standins import TargetStandIn

from pistachiowinch.links.statements import (
    Completed,
    Interrupted,
    Position,
    Read,
    ReasonRefused,
    Refused,
    TargetRefused,
    Write,
)
from pistachiowinch.platform.targets import LineTargetLink

READ = Read("READ 1a4")


@pytest.fixture
async def target():
    """Run a target."""
    found = TargetStandIn()
    await found.start()
    yield found
    await found.stop()


async def connect(target, timeout_s=1.0):
    """Open a connection."""
    return await LineTargetLink().connect("svc", "i-1", target.address, "carp", timeout_s)


async def test_the_expected_target_and_customer_are_named(target):
    """ROUTE: an address may have been reassigned to another target; only the id reveals that."""
    connection = await connect(target)
    assert target.lines == ["START svc carp i-1"]
    assert connection.initial_position == Position(3, 7)


async def test_rows_receipt_and_position(target):
    """MIXED: a success has to carry the target's receipt and rows unchanged."""
    target.answers["AFTER 3.5 READ 1a4"] = "ROW a b\r\nROW \xe9\r\nDONE 7.1f\r\nREADY I 3.9\r\n"
    outcome = await (await connect(target)).run("id1", READ, Position(3, 5), 1.0)
    assert outcome == Completed(("a b", "\xe9"), "7.1f", Position(3, 9))


async def test_errors_keep_the_target_s_own_text(target):
    """The caller must receive the error code that the target sent."""
    target.answers["WRITE 1 x"] = "ERROR READONLY i-1\r\nREADY E 3.9\r\n"
    outcome = await (await connect(target)).run("id1", Write("WRITE 1 x"), None, 1.0)
    assert outcome == Refused(ReasonRefused.READ_ONLY, "READONLY i-1", True, Position(3, 9))


async def test_silence_closes_the_connection(target):
    """MIXED: a late answer must never be taken for the answer to a later statement."""
    target.answers["READ 1a4"] = None
    connection = await connect(target)
    outcome = await connection.run("id1", READ, None, 0.1)
    assert isinstance(outcome, Interrupted) and outcome.is_sent
    assert not connection.is_usable
    again = await connection.run("id2", READ, None, 0.1)
    assert isinstance(again, Interrupted) and not again.is_sent


async def test_half_an_answer_is_no_answer(target):
    """MIXED: an incomplete answer must not be delivered."""
    target.answers["READ 1a4"] = "ROW a\r\nDONE 7.1f\r\n"
    outcome = await (await connect(target)).run("id1", READ, None, 0.1)
    assert isinstance(outcome, Interrupted)


async def test_an_unknown_word_ends_the_connection(target):
    """After an unknown message the connection must not be used for the next statement."""
    target.answers["READ 1a4"] = "HELLO\r\n"
    connection = await connect(target)
    assert isinstance(await connection.run("id1", READ, None, 1.0), Interrupted)
    assert not connection.is_usable


async def test_status(target):
    """ONE: role, term and received position decide which target is promoted."""
    target.answers["STATUS"] = "ROW replica 3 3.1209 4 12 2 17\r\nDONE -\r\nREADY I 3.1\r\n"
    state = await (await connect(target)).state(1.0)
    assert (state.is_primary, state.term, state.received) == (False, 4, Position(3, 1209))
    target.answers["STATUS"] = "ROW nonsense\r\nDONE -\r\nREADY I 3.1\r\n"
    assert await (await connect(target)).state(1.0) is None


async def test_refusals_to_open(target):
    """A target at its limit, a silent one and an unreachable one need different reactions."""
    target.greeting = "ERROR TOOMANY i-1\r\n"
    with pytest.raises(TargetRefused) as full:
        await connect(target)
    assert full.value.reason is ReasonRefused.TOO_MANY_CONNECTIONS
    target.greeting = ""
    with pytest.raises(TargetRefused) as silent:
        await connect(target, 0.1)
    assert silent.value.reason is None and silent.value.is_reached
    target.address = "127.0.0.1:1"
    with pytest.raises(TargetRefused) as absent:
        await connect(target, 0.1)
    assert not absent.value.is_reached
