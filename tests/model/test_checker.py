"""Check the complete protocols, and that removing any guard makes the checker find a violation.

This guards against specifications that are too weak: a check that passes without a guard does not
show that the guard is needed.
"""

from typing import NamedTuple

import pytest

from pistachiowinch.model.checker import Specification, check
from pistachiowinch.model.currency import CurrencyGuard, CurrencySpecification
from pistachiowinch.model.escrow import EscrowGuard, EscrowSpecification
from pistachiowinch.model.interrupted_switch import (
    InterruptedSwitchGuard,
    InterruptedSwitchSpecification,
)
from pistachiowinch.model.ledger import LedgerGuard, LedgerSpecification
from pistachiowinch.model.membership import MembershipGuard, MembershipSpecification
from pistachiowinch.model.promotion import PromotionGuard, PromotionSpecification
from pistachiowinch.model.restoration import RestorationGuard, RestorationSpecification
from pistachiowinch.model.switchover import SwitchoverGuard, SwitchoverSpecification
from pistachiowinch.model.usage_reports import UsageReportGuard, UsageReportSpecification
from pistachiowinch.model.voter_set import VoterSetGuard, VoterSetSpecification


class _Case(NamedTuple):
    specification: Specification
    depth_steps: int


COMPLETE = [
    _Case(PromotionSpecification(), 10),
    _Case(LedgerSpecification(), 16),
    _Case(EscrowSpecification(), 16),
    _Case(SwitchoverSpecification(), 15),
    _Case(VoterSetSpecification(), 15),
    _Case(MembershipSpecification(), 17),
    _Case(RestorationSpecification(), 16),
    _Case(UsageReportSpecification(), 17),
    _Case(CurrencySpecification(), 15),
    _Case(InterruptedSwitchSpecification(), 17),
]

# Depths within which a violation exists; the number of terms is reduced where two suffice.
MUTANTS = [
    *(
        _Case(PromotionSpecification(guard, terms), depth)
        for guard, terms, depth in [
            (PromotionGuard.CONFIRM_BY_MAJORITY, 2, 6),
            (PromotionGuard.CONFIRM_PROMISED_TERM, 2, 8),
            (PromotionGuard.CONFIRM_STREAM_TERM, 3, 12),
            (PromotionGuard.FENCE_MAJORITY, 2, 6),
            (PromotionGuard.CHOOSE_GREATEST, 2, 8),
            (PromotionGuard.COMPARE_LOG_TERM, 3, 13),
            (PromotionGuard.REFUSE_LOWER_TERM, 3, 8),
            (PromotionGuard.PROMOTE_PROMISED, 3, 11),
            (PromotionGuard.TRUNCATE, 3, 12),
        ]
    ),
    *(_Case(LedgerSpecification(guard), 8) for guard in LedgerGuard),
    *(_Case(EscrowSpecification(guard), 16) for guard in EscrowGuard),
    *(_Case(SwitchoverSpecification(guard), 14) for guard in SwitchoverGuard),
    *(_Case(VoterSetSpecification(guard), 14) for guard in VoterSetGuard),
    *(_Case(MembershipSpecification(guard), 17) for guard in MembershipGuard),
    *(_Case(RestorationSpecification(guard), 14) for guard in RestorationGuard),
    *(_Case(UsageReportSpecification(guard), 16) for guard in UsageReportGuard),
    *(_Case(CurrencySpecification(guard), 14) for guard in CurrencyGuard),
    *(_Case(InterruptedSwitchSpecification(guard), 12) for guard in InterruptedSwitchGuard),
]


def _mutant_name(case: _Case) -> str:
    return case.specification.removed.name


@pytest.mark.parametrize("case", COMPLETE, ids=lambda case: case.specification.name)
def test_the_complete_protocol_keeps_its_invariants(case, record_property):
    result = check(case.specification, case.depth_steps)
    record_property(
        "figure",
        f"model: {result.specification}: {result.scope}, {result.action_count} actions, "
        f"all behaviours of up to {result.depth_steps} steps, {result.run_time_s:.1f} s",
    )
    assert result.trace is None, result.trace.text


@pytest.mark.parametrize("case", MUTANTS, ids=_mutant_name)
def test_the_checker_refutes_a_protocol_without_the_guard(case):
    result = check(case.specification, case.depth_steps)
    assert result.trace is not None
    assert result.trace.steps
