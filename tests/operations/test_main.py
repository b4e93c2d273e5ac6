"""Guards against commands whose exit code, JSON or key handling misleads a script."""

import asyncio
import json
import threading

import msgspec
import pytest
from operations.test_operators_http import KEY, FakeHost
from operations.test_settings import MINIMAL
from returns.result import Failure
from typer.testing import CliRunner

from pistachiowinch.base.codes import STALE_BASE_VERSION, Refusal
from pistachiowinch.base.tokens import SessionToken, encode_token
from pistachiowinch.operations.keys import (
    create_key,
    matches_hash,
    native_password_hash,
    operator_hash,
)
from pistachiowinch.operations.main import KEY_VARIABLE, app
from pistachiowinch.operations.operators_http import OperatorsServer
from pistachiowinch.operations.settings import OperatorSettings

TOKEN = encode_token(SessionToken("counter", 7, 42))


def run(*arguments, **options):
    return CliRunner().invoke(app, list(arguments), **options)


class ServerThread:
    """An operators' interface in a thread, because commands run their own event loop."""

    def __init__(self):
        self.view = FakeHost()
        settings = OperatorSettings("127.0.0.1", 0, False, False, True, 65536, "")
        self._loop = asyncio.new_event_loop()
        self._server = OperatorsServer(self.view, settings)
        self._loop.run_until_complete(self._server.start())
        self._thread = threading.Thread(target=self._loop.run_forever)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_error):
        asyncio.run_coroutine_threadsafe(self._server.stop(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
        self._loop.close()

    def call(self, *arguments, key=KEY):
        return run(*arguments, "--url", self._server.url, env={KEY_VARIABLE: key})


@pytest.fixture
def server():
    with ServerThread() as server:
        yield server


@pytest.fixture
def patch_file(tmp_path):
    path = tmp_path / "patch.json"
    operation = {"kind": "set", "path": ["availability_zones", "a"], "value": {"state": "in"}}
    patch = {"patch_id": "p1", "base_version": 1, "operations": [operation]}
    path.write_bytes(msgspec.json.encode(patch))
    return str(path)


def test_check_prints_all_faults_and_fails(tmp_path):
    path = tmp_path / "host.ini"
    path.write_text(MINIMAL)
    assert run("check", str(path)).exit_code == 0
    path.write_text(MINIMAL + "[callers]\nport = x\ndeadline_s = y\n")
    result = run("check", str(path), "--json")
    assert result.exit_code == 1
    assert [fault["key"] for fault in json.loads(result.stdout)["faults"]] == ["port", "deadline_s"]
    assert run("serve", str(path)).exit_code == 1


def test_token_shows_and_checks():
    assert json.loads(run("token", TOKEN, "--json").stdout) == {
        "service": "counter",
        "term": 7,
        "position": 42,
    }
    assert run("token", TOKEN, "--service", "plays").exit_code == 1
    assert run("token", "-", input=TOKEN + "\n").exit_code == 0
    broken = run("token", TOKEN[:-1])
    assert broken.exit_code == 1
    assert "1008" in broken.output


def test_created_keys_are_random_and_match_their_hashes():
    first, second = (
        json.loads(run("key", "create", "--customer", "m", "--json").stdout) for _ in range(2)
    )
    assert first["key"] != second["key"]
    assert first["operation"]["value"]["password_hash"] == native_password_hash(first["key"])
    assert len(create_key().key) * 6 >= 160
    operator = json.loads(run("key", "create", "--operator", "--id", "anna", "--json").stdout)
    stored = operator["operation"]["value"]["key_hash"]
    assert matches_hash(operator["key"], [operator_hash("other"), stored])
    assert not matches_hash(operator["key"], [operator_hash("other")])
    assert not matches_hash("", [])
    assert run("key", "create").exit_code == 2


def test_native_password_hash_is_that_of_mysql():
    # From MySQL's documentation of PASSWORD('mypass').
    assert native_password_hash("mypass") == "*6C8989366EAF75BB670AD8EA7A7FC1176A95CEF4"


def test_submit_separates_accepted_from_in_force(server, patch_file):
    result = server.call("patch", "submit", patch_file, "--wait", "1")
    assert result.exit_code == 0, result.output
    assert "accepted as version 2" in result.output
    server.view.lagging = ["host-c"]
    result = server.call("patch", "submit", patch_file, "--json")
    assert result.exit_code == 4
    assert json.loads(result.stdout)["lagging_hosts"] == ["host-c"]


def test_refusals_exit_with_1_and_show_the_number(server, patch_file):
    server.view.result = Failure(Refusal(STALE_BASE_VERSION, "version 3 is in force"))
    result = server.call("patch", "submit", patch_file)
    assert result.exit_code == 1
    assert "PW5001" in result.output
    assert server.call("status", key="wrong").exit_code == 1


def test_diff_shows_changes_and_faults(server, patch_file, tmp_path):
    result = server.call("patch", "diff", patch_file)
    assert result.exit_code == 0, result.output
    assert "+ availability_zones/a/state: in" in result.output
    bad = tmp_path / "bad.json"
    bad.write_text('{"patch_id": "p", "base_version": 1, "operations": [{"kind": "remove", ')
    assert server.call("patch", "diff", str(bad)).exit_code == 1
    operation = {"kind": "remove", "path": ["keys", "nobody"]}
    fields = {"patch_id": "p", "base_version": 1, "operations": [operation]}
    bad.write_bytes(msgspec.json.encode(fields))
    result = server.call("patch", "diff", str(bad))
    assert result.exit_code == 1
    assert "keys/nobody" in result.output


def test_history_and_show(server):
    assert "version 1: p0" in server.call("patch", "history").output
    assert json.loads(server.call("patch", "show", "p0").stdout)["version"] == 1
    assert server.call("patch", "show", "p9").exit_code == 1


def test_roster_remove_names_the_hosts(server):
    result = server.call("roster", "remove", "host-b", "host-c")
    assert result.exit_code == 0, result.output
    assert server.view.removed == {"host-b", "host-c"}
    assert "epoch 4" in result.output


def test_unreachable_host_and_unreadable_files(patch_file, tmp_path):
    url = ("--url", "http://127.0.0.1:1")
    assert run("patch", "submit", patch_file, *url).exit_code == 3
    assert run("patch", "submit", str(tmp_path / "none"), *url).exit_code == 2
    assert run("status", *url, "--key-file", str(tmp_path / "none")).exit_code == 2


def test_help_names_every_command_and_the_exit_codes():
    output = run("--help").output
    for command in ("serve", "check", "patch", "status", "token", "key", "measure", "demo"):
        assert command in output
    assert "Exit codes" in output
