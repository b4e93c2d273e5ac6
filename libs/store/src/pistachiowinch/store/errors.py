"""Maps failed exchanges to errors that say whether the store may have applied the request."""

import aiohttp

from pistachiowinch.links.store import StoreError, StoreReplyLost, StoreUnavailable
from pistachiowinch.store.wire import ErrorAnswer

__all__ = ["error_from_answer", "error_from_transport"]

# gRPC status codes with which a server refuses a request before it proposes it:
# INVALID_ARGUMENT, NOT_FOUND, PERMISSION_DENIED, RESOURCE_EXHAUSTED, FAILED_PRECONDITION,
# OUT_OF_RANGE, UNIMPLEMENTED, UNAUTHENTICATED.
_REFUSED_CODES = frozenset({3, 5, 7, 8, 9, 11, 12, 16})
# UNAVAILABLE is ambiguous: "request timed out" and "leader changed" may follow a proposal that is
# applied later. Only these texts are sent before the proposal.
_GRPC_UNAVAILABLE = 14
_REFUSED_MESSAGES = (
    "etcdserver: no leader",
    "etcdserver: not capable",
    "etcdserver: server stopped",
    "etcdserver: connection refused",
)


def error_from_transport(error: Exception) -> StoreError:
    """Translate a failed exchange.

    :param error: raised by aiohttp.
    :returns: :class:`StoreUnavailable` only if no connection existed, so nothing was sent.
    """
    is_unsent = isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError)
    text = f"{type(error).__name__}: {error}"
    return StoreUnavailable(text) if is_unsent else StoreReplyLost(text)


def error_from_answer(status: int, answer: ErrorAnswer) -> StoreError:
    """Translate an answer with an error status.

    :param status: HTTP status.
    :param answer: the body; a default one if it was not JSON, as from a proxy in between.
    """
    text = f"status {status}, code {answer.code}: {answer.message}"
    if answer.code in _REFUSED_CODES:
        return StoreUnavailable(text)
    if answer.code == _GRPC_UNAVAILABLE and answer.message.startswith(_REFUSED_MESSAGES):
        return StoreUnavailable(text)
    return StoreReplyLost(text)
