"""Guards against an operators' interface that skips keys, fails on bad input or hides outcomes."""

import aiohttp
import msgspec
import pytest
from returns.result import Failure, Success

from pistachiowinch.base.codes import (
    NO_MAJORITY,
    PATCH_OUTCOME_UNKNOWN,
    STALE_BASE_VERSION,
    Refusal,
)
from pistachiowinch.configuration.document import EMPTY_DOCUMENT, Configuration
from pistachiowinch.configuration.patches import Patch, PatchAccepted, PatchRecord
from pistachiowinch.operations.keys import operator_hash
from pistachiowinch.operations.operators_client import OperatorsClient
from pistachiowinch.operations.operators_http import OperatorsServer
from pistachiowinch.operations.settings import OperatorSettings

KEY = "an-operator-key"
PATCH = {"patch_id": "p1", "base_version": 1, "operations": []}


class FakeHost:
    """Fake host behind the interface that records patches and removals."""

    def __init__(self):
        document = {**EMPTY_DOCUMENT, "operators": {"anna": {"key_hash": operator_hash(KEY)}}}
        self.configuration = Configuration(1, "d", document)
        self.unready_reasons = ()
        self.result = Success(PatchAccepted(2))
        self.lagging = []
        self.patches = []

    def status(self):
        return {"host": "host-a"}

    def render_metrics(self):
        return b"# HELP x\n"

    async def submit_patch(self, patch):
        self.patches.append(patch)
        return self.result

    async def patch_history(self, count):
        return [PatchRecord(1, "d", Patch("p0", 0, []))][:count]

    async def wait_in_force(self, version, timeout_s):
        return self.lagging

    async def remove_hosts(self, hosts):
        self.removed = hosts
        return Success(4)


class RunningServer:
    """A running server and requests to it."""

    def __init__(self, **settings):
        self.view = FakeHost()
        fields = OperatorSettings("127.0.0.1", 0, False, False, True, 2048, "")
        self.server = OperatorsServer(self.view, fields._replace(**settings))

    async def __aenter__(self):
        await self.server.start()
        return self

    async def __aexit__(self, *_error):
        await self.server.stop()
        await self.server.stop()

    async def call(self, method, path, body=None, key=KEY):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        if isinstance(body, dict):
            body = msgspec.json.encode(body)
        async with (
            aiohttp.ClientSession(headers=headers) as client,
            client.request(method, self.server.url + path, data=body) as response,
        ):
            raw = await response.read()
            is_json = response.content_type == "application/json"
            return response.status, msgspec.json.decode(raw) if is_json else raw


@pytest.fixture
async def running():
    async with RunningServer() as running:
        yield running


@pytest.mark.parametrize("path", ["/status", "/configuration", "/patches", "/metrics", "/nothing"])
@pytest.mark.parametrize("key", ["", "wrong", KEY + "x", operator_hash(KEY)])
async def test_everything_but_health_needs_a_key(running, path, key):
    status, body = await running.call("GET", path, key=key)
    assert (status, body["error"]["number"]) == (401, 5005)


async def test_patches_need_a_key(running):
    status, _ = await running.call("POST", "/patches", PATCH, key="wrong")
    assert status == 401
    assert running.view.patches == []


async def test_health_is_open_and_metrics_only_as_the_settings_say():
    async with RunningServer(metrics_open=True) as running:
        assert (await running.call("GET", "/metrics", key=""))[0] == 200
        assert (await running.call("GET", "/healthz", key=""))[0] == 200
    async with RunningServer(health_open=False) as running:
        assert (await running.call("GET", "/healthz", key=""))[0] == 401
        assert (await running.call("GET", "/readyz"))[0] == 200


async def test_readiness_names_the_reasons(running):
    running.view.unready_reasons = ("the host has no standing",)
    status, body = await running.call("GET", "/readyz", key="")
    assert (status, body["reasons"]) == (503, ["the host has no standing"])


async def test_bootstrap_key_ends_with_the_first_operator():
    async with RunningServer(bootstrap_key_hash=operator_hash("first")) as running:
        assert (await running.call("GET", "/status", key="first"))[0] == 401
        running.view.configuration = Configuration(0, "", EMPTY_DOCUMENT)
        assert (await running.call("GET", "/status", key="first"))[0] == 200
    async with RunningServer() as running:
        running.view.configuration = Configuration(0, "", EMPTY_DOCUMENT)
        assert (await running.call("GET", "/status", key=""))[0] == 401


async def test_accepted_and_in_force_are_separate(running):
    status, body = await running.call("POST", "/patches?wait_s=1", PATCH)
    assert (status, body["in_force"]) == (200, True)
    running.view.lagging = ["host-c", "host-b"]
    status, body = await running.call("POST", "/patches", PATCH)
    assert status == 202
    assert body["accepted"] == {"patch_id": "p1", "version": 2}
    assert (body["in_force"], body["lagging_hosts"]) == (False, ["host-b", "host-c"])


@pytest.mark.parametrize(
    ("code", "expected"),
    [(STALE_BASE_VERSION, 409), (NO_MAJORITY, 503), (PATCH_OUTCOME_UNKNOWN, 504)],
)
async def test_refusals_carry_their_number(running, code, expected):
    running.view.result = Failure(Refusal(code, "because"))
    status, body = await running.call("POST", "/patches", PATCH)
    assert (status, body["error"]["number"]) == (expected, code.number)
    assert body["error"]["ran"] == code.ran.value


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        b'{"patch_id": 1}',
        b'{"patch_id": "p", "base_version": "1", "operations": []}',
        b'{"patch_id": "p", "base_version": 1, "operations": [{"kind": "grow", "path": []}]}',
        b"[" * 1500,
    ],
)
async def test_malformed_patches_are_refused_with_a_number(running, body):
    status, answer = await running.call("POST", "/patches", body)
    assert (status, answer["error"]["number"]) == (400, 5002)
    assert running.view.patches == []


async def test_large_bodies_are_refused(running):
    status, answer = await running.call("POST", "/patches", b"x" * 5000)
    assert (status, answer["error"]["number"]) == (413, 5007)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/nothing", 404),
        ("PUT", "/patches", 405),
        ("GET", "/patches?count=-1", 400),
        ("GET", "/patches?count=nan", 400),
        ("GET", "/patches?count=many", 400),
        ("POST", "/patches?wait_s=1e9", 400),
    ],
)
async def test_wrong_requests_are_refused_with_a_number(running, method, path, status):
    found, answer = await running.call(method, path, b"{}")
    assert (found, answer["error"]["number"]) == (status, 1005)


async def test_removals_need_a_key_and_a_list_of_hosts(running):
    hosts = {"hosts": ["host-b"]}
    assert (await running.call("POST", "/roster/removals", hosts, key=""))[0] == 401
    for body in (b"", b'{"hosts": "host-b"}', b'{"host": ["host-b"]}'):
        status, answer = await running.call("POST", "/roster/removals", body)
        assert (status, answer["error"]["number"]) == (400, 1005)
    assert await running.call("POST", "/roster/removals", hosts) == (200, {"roster_epoch": 4})
    assert running.view.removed == {"host-b"}


async def test_internal_faults_show_no_detail(running):
    def fail():
        raise RuntimeError("secret path")

    running.view.status = fail
    status, answer = await running.call("GET", "/status")
    assert (status, answer["error"]["number"]) == (500, 9001)
    assert "secret" not in str(answer)


async def test_client_tells_refused_from_unreachable(running):
    client = OperatorsClient(running.server.url, KEY)
    assert (await client.get("/patches")).unwrap()["patches"][0]["version"] == 1
    refused = (await OperatorsClient(running.server.url, "x").get("/status")).failure()
    assert (refused.number, refused.is_unreachable) == (5005, False)
    await running.server.stop()
    lost = (await client.submit_patch(msgspec.json.encode(PATCH), 0.0)).failure()
    assert lost.is_unreachable
