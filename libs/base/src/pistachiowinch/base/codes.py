"""Numbered result codes of refused requests, each stating whether the statement ran."""

import enum
from typing import NamedTuple

__all__ = [
    "CODES",
    "ExecutionStatus",
    "Refusal",
    "ResultCode",
]


class ExecutionStatus(enum.Enum):
    """Whether the statement of a refused request ran."""

    YES = "run"
    NO = "not run"
    UNKNOWN = "unknown"


class ResultCode(NamedTuple):
    """One row of the result-code table.

    :param number: stable number that callers see.
    :param name: name of the constant in this module.
    :param ran: whether the statement ran.
    :param advice: advice to the caller.
    :param label: value of the metrics' ``reason`` label.
    :param mysql_errno: error number in MySQL's error packet.
    :param sqlstate: SQLSTATE in MySQL's error packet, five characters.
    """

    number: int
    name: str
    ran: ExecutionStatus
    advice: str
    label: str
    mysql_errno: int
    sqlstate: str


class Refusal(NamedTuple):
    """A refused request.

    :param code: result code.
    :param detail: one short sentence; must not contain keys or tokens.
    """

    code: ResultCode
    detail: str

    @property
    def message(self) -> str:
        """Message to the caller: number, name, detail and whether the statement ran."""
        code = self.code
        return f"PW{code.number} {code.name}: {self.detail} (statement {code.ran.value})"


def _code(
    number: int, name: str, ran: ExecutionStatus, errno: int, sqlstate: str, advice: str
) -> ResultCode:
    return ResultCode(number, name, ran, advice, name.lower(), errno, sqlstate)


_NO, _UNKNOWN, _YES = ExecutionStatus.NO, ExecutionStatus.UNKNOWN, ExecutionStatus.YES

BAD_KEY = _code(1001, "BAD_KEY", _NO, 1045, "28000", "Check key id and key.")
KEY_WITHDRAWN = _code(1002, "KEY_WITHDRAWN", _NO, 1045, "28000", "Ask the operators for a key.")
UNKNOWN_SERVICE = _code(1003, "UNKNOWN_SERVICE", _NO, 1049, "42000", "Check the database name.")
SERVICE_NOT_ALLOWED = _code(
    1004, "SERVICE_NOT_ALLOWED", _NO, 1044, "42000", "Ask the operators for access."
)
MALFORMED_PACKET = _code(1005, "MALFORMED_PACKET", _NO, 1835, "HY000", "Check the driver.")
STATEMENT_TOO_LARGE = _code(
    1006, "STATEMENT_TOO_LARGE", _NO, 1153, "08S01", "Send a smaller statement."
)
STATEMENT_NOT_SUPPORTED = _code(
    1007, "STATEMENT_NOT_SUPPORTED", _NO, 1235, "42000", "Use another statement."
)
BAD_TOKEN = _code(1008, "BAD_TOKEN", _NO, 1231, "42000", "Set a token read from this service.")
BAD_SESSION_SETTING = _code(
    1009, "BAD_SESSION_SETTING", _NO, 1231, "42000", "Check the variable's allowed values."
)
REQUEST_ID_REUSED = _code(
    1010, "REQUEST_ID_REUSED", _NO, 1062, "23000", "Use a new request id for a new statement."
)

RATE_EXCEEDED = _code(2001, "RATE_EXCEEDED", _NO, 1226, "42000", "Slow down and retry later.")
QUEUE_FULL = _code(2002, "QUEUE_FULL", _NO, 1040, "08004", "Retry with increasing delay.")
DEADLINE_PASSED = _code(2003, "DEADLINE_PASSED", _NO, 1205, "HY000", "Retry with delay.")
RETRY_BUDGET_EXHAUSTED = _code(
    2004, "RETRY_BUDGET_EXHAUSTED", _NO, 1040, "08004", "Retry with increasing delay."
)
TOO_MANY_CONNECTIONS = _code(
    2005, "TOO_MANY_CONNECTIONS", _NO, 1040, "08004", "Close idle connections and retry."
)
CALLER_TOO_SLOW = _code(
    2006, "CALLER_TOO_SLOW", _NO, 1159, "08S01", "Send the whole message without pauses."
)
HOST_MEMORY_FULL = _code(
    2007, "HOST_MEMORY_FULL", _NO, 1040, "08004", "Retry with increasing delay; send less at once."
)

NO_PRIMARY = _code(3001, "NO_PRIMARY", _NO, 1290, "HY000", "Retry; a promotion is under way.")
NO_COVERING_TARGET = _code(
    3002, "NO_COVERING_TARGET", _NO, 1290, "HY000", "Retry, or accept older data."
)
TARGET_UNREACHABLE = _code(3003, "TARGET_UNREACHABLE", _NO, 1429, "HY000", "Retry.")
INTERRUPTED_NOT_RUN = _code(
    3004, "INTERRUPTED_NOT_RUN", _NO, 1317, "70100", "Retry; the statement had no effect."
)
OUTCOME_UNKNOWN = _code(
    3005, "OUTCOME_UNKNOWN", _UNKNOWN, 2013, "08S01", "Send it again with the same request id."
)
TRANSACTION_ABORTED = _code(
    3006, "TRANSACTION_ABORTED", _NO, 1213, "40001", "Run the whole transaction again."
)
ANSWER_LOST = _code(3007, "ANSWER_LOST", _YES, 2013, "08S01", "The write ran; read its result.")
READ_INTERRUPTED = _code(
    3008, "READ_INTERRUPTED", _UNKNOWN, 2013, "08S01", "Retry the read; it changed nothing."
)

HOST_STOPPING = _code(4001, "HOST_STOPPING", _NO, 1053, "08S01", "Reconnect.")
HOST_ISOLATED = _code(4002, "HOST_ISOLATED", _NO, 1053, "08S01", "Reconnect.")
ZONE_OUT = _code(4003, "ZONE_OUT", _NO, 1053, "08S01", "Reconnect.")
NO_CONFIGURATION = _code(4004, "NO_CONFIGURATION", _NO, 1053, "08S01", "Reconnect.")

STALE_BASE_VERSION = _code(
    5001, "STALE_BASE_VERSION", _NO, 1213, "40001", "Read the configuration and rebase the patch."
)
PATCH_INVALID = _code(5002, "PATCH_INVALID", _NO, 1064, "42000", "Correct the patch.")
STORE_UNAVAILABLE = _code(5003, "STORE_UNAVAILABLE", _NO, 1429, "HY000", "Retry later.")
PATCH_OUTCOME_UNKNOWN = _code(
    5004, "PATCH_OUTCOME_UNKNOWN", _UNKNOWN, 1429, "HY000", "Submit it again with the same id."
)
OPERATOR_KEY_BAD = _code(5005, "OPERATOR_KEY_BAD", _NO, 1045, "28000", "Check the operator key.")
NO_MAJORITY = _code(5006, "NO_MAJORITY", _NO, 1429, "HY000", "Submit the patch at another host.")
PATCH_TOO_LARGE = _code(5007, "PATCH_TOO_LARGE", _NO, 1153, "08S01", "Split the patch.")
PATCH_ID_REUSED = _code(
    5008, "PATCH_ID_REUSED", _NO, 1062, "23000", "Use a new id for a different patch."
)

INTERNAL = _code(9001, "INTERNAL", _UNKNOWN, 1105, "HY000", "Report it with the host's log.")

CODES: tuple[ResultCode, ...] = tuple(
    sorted(value for value in list(globals().values()) if isinstance(value, ResultCode))
)

__all__ += [code.name for code in CODES]
