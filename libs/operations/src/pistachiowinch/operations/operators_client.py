"""Client of the operators' HTTP interface, for the command line and the demo."""

from collections.abc import Sequence
from typing import Any, NamedTuple

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

__all__ = ["OperatorsClient", "OperatorsError"]

_TIMEOUT_S = 10.0
_MAX_RESPONSE_BYTES = 67_108_864


class OperatorsError(NamedTuple):
    """A failed request.

    :param number: result code; 0 if the response has none.
    :param detail: what happened.
    :param is_unreachable: whether no complete response arrived. The request may have taken effect.
    """

    number: int
    detail: str
    is_unreachable: bool


def _response_error(status: int, data: Any) -> OperatorsError:
    error = data.get("error") if isinstance(data, dict) else None
    if not isinstance(error, dict):
        return OperatorsError(0, f"HTTP status {status} without a result code", False)
    text = f"{error.get('name')}: {error.get('detail')}. {error.get('advice')}"
    return OperatorsError(int(error.get("number") or 0), text, False)


class OperatorsClient:
    """Sends requests to one host.

    :param url: address of the interface, ``http://IP:PORT``.
    :param key: operator's key; no key is sent if empty.
    """

    def __init__(self, url: str, key: str) -> None:
        """Store the address; every request opens its own connection."""
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}

    async def get(self, path: str) -> Result[Any, OperatorsError]:
        """Read one resource.

        :param path: path with query, such as ``/patches?count=5``.
        """
        return await self._call("GET", path, None, _TIMEOUT_S)

    async def submit_patch(self, patch: bytes, wait_s: float) -> Result[Any, OperatorsError]:
        """Submit a patch.

        :param patch: the patch as JSON.
        :param wait_s: seconds to wait until it is in force on every host.
        """
        path = f"/patches?wait_s={wait_s:g}"
        return await self._call("POST", path, patch, _TIMEOUT_S + wait_s)

    async def remove_hosts(self, hosts: Sequence[str]) -> Result[Any, OperatorsError]:
        """Remove stopped hosts from the roster.

        :param hosts: their names.
        """
        body = msgspec.json.encode({"hosts": list(hosts)})
        return await self._call("POST", "/roster/removals", body, _TIMEOUT_S)

    async def _call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> Result[Any, OperatorsError]:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=self._headers) as client,
                client.request(method, self._url + path, data=body) as response,
            ):
                raw = await response.content.read(_MAX_RESPONSE_BYTES)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            return Failure(OperatorsError(0, f"no answer from {self._url}: {reason}", True))
        try:
            data = msgspec.json.decode(raw)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return Failure(OperatorsError(0, f"HTTP status {status} without JSON", False))
        # /readyz answers 503 with a regular body if the host is not ready.
        if status >= 400 and not (isinstance(data, dict) and "ready" in data):
            return Failure(_response_error(status, data))
        return Success(data)
