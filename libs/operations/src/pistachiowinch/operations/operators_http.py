"""Operators' HTTP interface of one host.

Every answer is JSON except metrics. Every refusal carries a numbered result code:
``{"error": {"number": ..., "name": ..., "detail": ..., "ran": ..., "advice": ...}}``.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import msgspec
from aiohttp import hdrs, web
from aiohttp.web_protocol import RequestHandler
from returns.result import Failure, Result, Success

from pistachiowinch.base.caller_limits import RECEIVE_BUFFER_BYTES
from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import (
    INTERNAL,
    MALFORMED_PACKET,
    NO_MAJORITY,
    OPERATOR_KEY_BAD,
    PATCH_ID_REUSED,
    PATCH_INVALID,
    PATCH_OUTCOME_UNKNOWN,
    PATCH_TOO_LARGE,
    STALE_BASE_VERSION,
    STORE_UNAVAILABLE,
    Refusal,
    ResultCode,
)
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.sockets import ACCEPT_BURST, listen
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.configuration.patches import Patch
from pistachiowinch.operations.keys import matches_hash
from pistachiowinch.operations.settings import OperatorSettings

__all__ = ["MAX_CONNECTIONS", "MAX_WAIT_S", "OperatorsServer", "OperatorsView", "error_body"]

MAX_WAIT_S = 60.0
# Several times the connections of load balancers, collectors of metrics and operators.
MAX_CONNECTIONS = 64
_BACKLOG_CONNECTIONS = 128
_LIMIT_LOG_INTERVAL_S = 1.0
MAX_HISTORY_PATCHES = 1000
_DEFAULT_HISTORY_PATCHES = 20
_SHUTDOWN_TIMEOUT_S = 1.0
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_HEALTH_PATHS = frozenset({"/healthz", "/readyz"})
_METRICS_PATH = "/metrics"

_HTTP_STATUS: dict[ResultCode, int] = {
    MALFORMED_PACKET: 400,
    PATCH_INVALID: 400,
    OPERATOR_KEY_BAD: 401,
    STALE_BASE_VERSION: 409,
    PATCH_ID_REUSED: 409,
    PATCH_TOO_LARGE: 413,
    INTERNAL: 500,
    STORE_UNAVAILABLE: 503,
    NO_MAJORITY: 503,
    PATCH_OUTCOME_UNKNOWN: 504,
}
# The remaining codes describe the host's own state (4000-4999): another host can answer.
_DEFAULT_STATUS = 503

_log = part_logger("operators")


class OperatorsView(Protocol):
    """The part of the host that the interface uses."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this host."""

    @property
    def unready_reasons(self) -> Sequence[str]:
        """Why the host accepts no new work; empty if it does."""

    def status(self) -> dict[str, Any]:
        """Return the host's state as plain data."""

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    async def submit_patch(self, patch: Patch) -> Result[Any, Refusal]:
        """Submit a patch; a success holds ``version``."""

    async def patch_history(self, count: int) -> list[Any]:
        """Return the newest patch records, the newest first."""

    async def wait_in_force(self, version: int, timeout_s: float) -> list[str]:
        """Wait until the version is in force; return the hosts that do not have it yet."""

    async def remove_hosts(self, hosts: frozenset[str]) -> Result[int, Refusal]:
        """Remove stopped hosts from the roster; a success holds the roster's epoch."""


class Removal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /roster/removals``.

    :param hosts: hosts that the operator knows to have stopped.
    """

    hosts: list[str]


def error_body(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as JSON data.

    :param refusal: the refusal.
    """
    code = refusal.code
    fields = {
        "number": code.number,
        "name": code.name,
        "detail": refusal.detail,
        "ran": code.ran.value,
        "advice": code.advice,
    }
    return {"error": fields}


def _json_response(data: Any, status: int = 200) -> web.Response:
    body = msgspec.json.encode(data)
    return web.Response(body=body, status=status, content_type="application/json")


def _refusal_response(refusal: Refusal, status: int | None = None) -> web.Response:
    response = _json_response(
        error_body(refusal), status or _HTTP_STATUS.get(refusal.code, _DEFAULT_STATUS)
    )
    if refusal.code is OPERATOR_KEY_BAD:
        response.headers[hdrs.WWW_AUTHENTICATE] = "Bearer"
    return response


class _QueryError(Exception):
    """A query parameter is not a number or out of range."""


def _query_number(request: web.Request, name: str, default: float, limit: float) -> float:
    text = request.query.get(name)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    # The comparison is also false for NaN.
    if not 0 <= number <= limit:
        raise _QueryError(f"{name} must be a number from 0 to {limit:g}")
    return number


def _bearer_key(request: web.Request) -> str:
    scheme, _, key = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


class OperatorsServer:
    """HTTP server for operators.

    :param view: the host.
    :param settings: section ``[operators]``.
    """

    def __init__(self, view: OperatorsView, settings: OperatorSettings) -> None:
        """Build the routes without opening a socket."""
        self._view = view
        self._settings = settings
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None
        self._limit_logged_s = -math.inf
        self._port = settings.port
        self._app = web.Application(middlewares=[self._guard], client_max_size=settings.body_bytes)
        self._app.add_routes(
            [
                web.get("/status", self._status),
                web.get("/configuration", self._configuration),
                web.get("/patches", self._patches),
                web.post("/patches", self._submit),
                web.post("/roster/removals", self._remove),
                web.get(_METRICS_PATH, self._metrics),
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
            ]
        )

    @property
    def url(self) -> str:
        """Address of the running server."""
        address = self._settings.address
        url_host = f"[{address}]" if ":" in address else address
        return f"http://{url_host}:{self._port}"

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address is in use.
        """
        runner = web.AppRunner(self._app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        try:
            listener = listen(
                f"{self._settings.address}:{self._settings.port}",
                _BACKLOG_CONNECTIONS,
                RECEIVE_BUFFER_BYTES,
            )
            self._server = await asyncio.get_running_loop().create_server(
                lambda: self._accept(runner.server), sock=listener, backlog=ACCEPT_BURST
            )
        except OSError:
            await runner.cleanup()
            raise
        self._runner = runner
        self._port = listener.getsockname()[1]

    async def stop(self) -> None:
        """Close all connections; a second call does nothing."""
        runner, self._runner = self._runner, None
        if runner is not None:
            self._server.close()
            await runner.cleanup()

    def _accept(self, server: web.Server) -> RequestHandler:
        """Create the handler of a new connection; close the oldest ones above the limit."""
        handlers = server.connections
        excess = len(handlers) + 1 - MAX_CONNECTIONS
        if excess > 0:
            for handler in handlers[:excess]:
                if handler.transport is not None:
                    handler.transport.abort()
            if now_s() - self._limit_logged_s > _LIMIT_LOG_INTERVAL_S:
                self._limit_logged_s = now_s()
                _log.warning("Closes the oldest of {} connections.", len(handlers))
        return server()

    def _needs_key(self, path: str) -> bool:
        if path in _HEALTH_PATHS:
            return not self._settings.health_open
        if path == _METRICS_PATH:
            return not self._settings.metrics_open
        return True

    def _is_operator(self, request: web.Request) -> bool:
        operators = self._view.configuration.document["operators"]
        hashes = [entry["key_hash"] for entry in operators.values()]
        # Without the bootstrap key, nobody could submit the patch that adds the first operator.
        if not hashes and self._settings.bootstrap_key_hash:
            hashes = [self._settings.bootstrap_key_hash]
        key = _bearer_key(request)
        return bool(key) and matches_hash(key, hashes)

    @web.middleware
    async def _guard(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Check the operator's key and answer every failure with a result code."""
        if self._needs_key(request.path) and not self._is_operator(request):
            return _refusal_response(Refusal(OPERATOR_KEY_BAD, "a valid operator key is needed"))
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            limit = f"the body may have {self._settings.body_bytes} bytes"
            return _refusal_response(Refusal(PATCH_TOO_LARGE, limit))
        except web.HTTPException as error:
            detail = f"{request.method} on this path: {error.reason}"
            return _refusal_response(Refusal(MALFORMED_PACKET, detail), error.status)
        except _QueryError as error:
            return _refusal_response(Refusal(MALFORMED_PACKET, str(error)))
        except Exception as error:
            _log.error("{} {} failed: {!r}.", request.method, request.path, error)
            return _refusal_response(Refusal(INTERNAL, "see the host's log"))

    async def _status(self, request: web.Request) -> web.Response:
        return _json_response(self._view.status())

    async def _configuration(self, request: web.Request) -> web.Response:
        version, digest, document = self._view.configuration[:3]
        return _json_response({"version": version, "digest": digest, "document": document})

    async def _patches(self, request: web.Request) -> web.Response:
        count = int(_query_number(request, "count", _DEFAULT_HISTORY_PATCHES, MAX_HISTORY_PATCHES))
        return _json_response({"patches": await self._view.patch_history(count)})

    async def _submit(self, request: web.Request) -> web.Response:
        wait_s = _query_number(request, "wait_s", 0.0, MAX_WAIT_S)
        try:
            patch = msgspec.json.decode(await request.read(), type=Patch)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            return _refusal_response(Refusal(PATCH_INVALID, f"the body is not a patch: {error}"))
        match await self._view.submit_patch(patch):
            case Success(accepted):
                return await self._accepted_response(patch.patch_id, accepted.version, wait_s)
            case Failure(refusal):
                _log.warning("Patch {} was refused: {}.", patch.patch_id, refusal.code.name)
                return _refusal_response(refusal)
        return _refusal_response(Refusal(INTERNAL, "the patch had no result"))

    async def _accepted_response(self, patch_id: str, version: int, wait_s: float) -> web.Response:
        """Answer an accepted patch, with status 202 if it is not yet in force on every host."""
        lagging = await self._view.wait_in_force(version, wait_s)
        fields = {
            "accepted": {"patch_id": patch_id, "version": version},
            "in_force": not lagging,
            "lagging_hosts": sorted(lagging),
        }
        return _json_response(fields, 202 if lagging else 200)

    async def _remove(self, request: web.Request) -> web.Response:
        try:
            removal = msgspec.json.decode(await request.read(), type=Removal)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            return _refusal_response(Refusal(MALFORMED_PACKET, f"the body names no hosts: {error}"))
        match await self._view.remove_hosts(frozenset(removal.hosts)):
            case Success(epoch):
                return _json_response({"roster_epoch": epoch})
            case Failure(refusal):
                return _refusal_response(refusal)
        return _refusal_response(Refusal(INTERNAL, "the removal had no result"))

    async def _metrics(self, request: web.Request) -> web.Response:
        body = self._view.render_metrics()
        return web.Response(body=body, headers={hdrs.CONTENT_TYPE: _METRICS_TYPE})

    async def _healthz(self, request: web.Request) -> web.Response:
        return _json_response({"alive": True})

    async def _readyz(self, request: web.Request) -> web.Response:
        reasons = list(self._view.unready_reasons)
        return _json_response({"ready": not reasons, "reasons": reasons}, 503 if reasons else 200)
