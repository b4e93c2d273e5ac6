"""Client for an etcd v3 store over its JSON interface."""

import math
import random
from collections.abc import AsyncIterator, Sequence
from typing import Any, TypeVar

import aiohttp
import msgspec

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.store import (
    Compare,
    KeyValue,
    Operation,
    StoreError,
    StoreReplyLost,
    StoreUnavailable,
    TxnReply,
    WatchEvent,
)
from pistachiowinch.store import wire
from pistachiowinch.store.errors import error_from_answer, error_from_transport

__all__ = ["EtcdStore"]

DEFAULT_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.3
MAX_ATTEMPTS = 3
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
# A value of 1 MB is 1.4 MB in base64, and one transaction may change several keys.
MAX_WATCH_LINE_BYTES = 16_000_000
_TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)

T = TypeVar("T")
_log = part_logger("store")


class EtcdStore:
    """Implements :class:`pistachiowinch.links.store.Store` over HTTP.

    Calls go to one endpoint until it fails, then to the next one. Reads and lease renewals are
    repeated a bounded number of times. A transaction is repeated only while it certainly was not
    applied.
    """

    def __init__(
        self,
        endpoints: Sequence[str],
        metrics: Metrics,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        rng: random.Random | None = None,
    ) -> None:
        """Create a client; connections are opened by the first call.

        :param endpoints: base addresses such as ``http://10.0.0.1:2379``, at least one.
        :param metrics: where calls are counted by kind and outcome.
        :param timeout_s: time limit of one call, including its retries.
        :param rng: source of the jitter.
        :raises ValueError: if there is no endpoint.
        """
        if not endpoints:
            raise ValueError("at least one store endpoint is needed")
        self._endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._rng = rng or random.Random()
        self._current_endpoint = 0
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> KeyValue | None:
        """Read one key, linearizably."""
        answer = await self._read("get", "/v3/kv/range", wire.key_request(key), wire.RangeAnswer)
        return answer.kvs[0].to_key_value() if answer.kvs else None

    async def get_prefix(self, prefix: str) -> list[KeyValue]:
        """Read all keys under a prefix in key order."""
        request = wire.prefix_request(prefix)
        answer = await self._read("get_prefix", "/v3/kv/range", request, wire.RangeAnswer)
        return [found.to_key_value() for found in answer.kvs]

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnReply:
        """Apply all operations if all conditions hold, else none."""
        request = wire.txn_request(compares, operations)
        answer = await self._call("transact", "/v3/kv/txn", request, wire.TxnAnswer, False)
        return answer.to_reply()

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; the store counts in whole seconds, so the time is rounded up."""
        request = {"TTL": str(max(1, math.ceil(ttl_s)))}
        answer = await self._call(
            "grant_lease", "/v3/lease/grant", request, wire.GrantAnswer, False
        )
        return int(answer.lease)

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease once; the remaining time is counted from the request."""
        sent_s = now_s()
        request = {"ID": str(lease)}
        answer = await self._read(
            "keep_alive", "/v3/lease/keepalive", request, wire.KeepAliveAnswer
        )
        return max(0.0, float(answer.result.ttl) - (now_s() - sent_s))

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes under a prefix; a broken watch is not restarted."""
        endpoint = self._endpoints[self._current_endpoint]
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self._metrics.store_calls.labels("watch", "started").inc()
        try:
            async with self._open_session().post(
                f"{endpoint}/v3/watch",
                data=msgspec.json.encode(wire.watch_request(prefix, from_revision)),
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    raise StoreUnavailable(f"watch refused with status {response.status}")
                async for line in self._split_lines(response):
                    for event in self._decode_events(line):
                        yield event
        except _TRANSPORT_ERRORS as error:
            self._switch_endpoint(endpoint)
            raise StoreUnavailable(f"the watch broke: {type(error).__name__}") from error
        raise StoreUnavailable("the watch ended")

    @staticmethod
    async def _split_lines(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
        """Split the stream at line ends; aiohttp's own reader limits lines to 128 KB."""
        pending = bytearray()
        async for piece in response.content.iter_any():
            pending += piece
            if len(pending) > MAX_WATCH_LINE_BYTES:
                raise StoreUnavailable("a watch event is too large")
            while (end := pending.find(b"\n")) >= 0:
                yield bytes(pending[:end])
                del pending[: end + 1]

    @staticmethod
    def _decode_events(line: bytes) -> list[WatchEvent]:
        try:
            answer = msgspec.json.decode(line, type=wire.WatchAnswer)
            if answer.error is not None or answer.result is None:
                raise StoreUnavailable(f"the watch failed: {answer.error}")
            if answer.result.canceled:
                raise StoreUnavailable(f"the watch was cancelled: {answer.result.cancel_reason}")
            return [event.to_watch_event() for event in answer.result.events]
        except (msgspec.MsgspecError, ValueError) as error:
            raise StoreUnavailable(f"malformed watch event: {error}") from error

    async def _read(self, kind: str, path: str, request: dict[str, Any], answer: type[T]) -> T:
        """Make a call without a lasting effect; report each failure as not applied."""
        try:
            return await self._call(kind, path, request, answer, True)
        except StoreReplyLost as error:
            raise StoreUnavailable(str(error)) from error

    async def _call(
        self, kind: str, path: str, request: dict[str, Any], answer: type[T], is_repeatable: bool
    ) -> T:
        deadline_s = now_s() + self._timeout_s
        body = msgspec.json.encode(request)
        for attempt in range(MAX_ATTEMPTS):
            endpoint = self._endpoints[self._current_endpoint]
            try:
                result = await self._exchange(endpoint, path, body, answer, deadline_s)
                self._metrics.store_calls.labels(kind, "answered").inc()
                return result
            except StoreError as error:
                self._note_failure(kind, endpoint, error)
                is_final = isinstance(error, StoreReplyLost) and not is_repeatable
                backoff_s = self._backoff_s(attempt)
                is_past_deadline = now_s() + backoff_s >= deadline_s
                if is_final or is_past_deadline or attempt == MAX_ATTEMPTS - 1:
                    raise
                self._metrics.retries.labels("store_call").inc()
                await sleep_s(backoff_s)
        raise AssertionError("unreachable")

    async def _exchange(
        self, endpoint: str, path: str, body: bytes, answer: type[T], deadline_s: float
    ) -> T:
        remaining_s = max(deadline_s - now_s(), 0.001)
        timeout = aiohttp.ClientTimeout(
            total=remaining_s, sock_connect=min(CONNECT_TIMEOUT_S, remaining_s)
        )
        try:
            async with self._open_session().post(
                endpoint + path, data=body, timeout=timeout
            ) as response:
                content = await response.read()
        except _TRANSPORT_ERRORS as error:
            raise error_from_transport(error) from error
        if response.status != 200:
            raise error_from_answer(response.status, self._decode_error(content))
        try:
            return msgspec.json.decode(content, type=answer)
        except (msgspec.MsgspecError, ValueError) as error:
            raise StoreReplyLost(f"malformed answer: {error}") from error

    @staticmethod
    def _decode_error(content: bytes) -> wire.ErrorAnswer:
        try:
            return msgspec.json.decode(content, type=wire.ErrorAnswer)
        except (msgspec.MsgspecError, ValueError):
            return wire.ErrorAnswer()

    def _note_failure(self, kind: str, endpoint: str, error: StoreError) -> None:
        outcome = "not_applied" if isinstance(error, StoreUnavailable) else "unknown"
        self._metrics.store_calls.labels(kind, outcome).inc()
        _log.debug("{} at {} failed: {}", kind, endpoint, error)
        self._switch_endpoint(endpoint)

    def _switch_endpoint(self, endpoint: str) -> None:
        # Concurrent calls that fail at the same endpoint switch only once.
        if self._endpoints[self._current_endpoint] == endpoint:
            self._current_endpoint = (self._current_endpoint + 1) % len(self._endpoints)

    def _backoff_s(self, attempt: int) -> float:
        bound_s = min(FIRST_BACKOFF_S * 2**attempt, MAX_BACKOFF_S)
        # Jitter keeps the hosts of a fleet from repeating their calls at the same time.
        return bound_s * self._rng.uniform(0.5, 1.0)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=16, keepalive_timeout=30.0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session
