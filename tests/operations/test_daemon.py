"""Guards against a daemon or demo that hangs on start or stop, or exits with a wrong code."""

import os
import signal
import socket
import subprocess
import sys
import time

import msgspec
import pytest
from operations.test_settings import MINIMAL

WAIT_LIMIT_S = 60


@pytest.fixture
def settings_file(tmp_path):
    """Settings of a host whose store is down and whose listeners take free ports."""
    path = tmp_path / "host.ini"
    text = MINIMAL.replace("10.0.0.1", "127.0.0.1").replace("10.0.0.9:2379", "127.0.0.1:1")
    path.write_text(
        text.replace("[store]", "port = 0\n[store]")
        + "[callers]\nport = 0\n[operators]\nport = 0\n[stop]\nunready_s = 0\n"
    )
    return path


class Process:
    """A ``pistachiowinch`` command as a child process."""

    def __init__(self, *arguments):
        command = [sys.executable, "-m", "pistachiowinch.operations.main", *map(str, arguments)]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self.popen = subprocess.Popen(
            command, stderr=subprocess.STDOUT, stdout=subprocess.PIPE, text=True, env=environment
        )
        self.output = ""

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.popen.kill()
        self.popen.communicate()

    def read_until(self, text):
        for line in self.popen.stdout:
            self.output += line
            if text in line:
                return
        raise AssertionError(self.output)

    def finish(self):
        rest, _ = self.popen.communicate(timeout=WAIT_LIMIT_S)
        self.output += rest
        return self.popen.returncode


def test_serve_starts_and_stops_while_the_store_is_down(settings_file):
    with Process("serve", settings_file) as process:
        process.read_until("runs.")
        process.popen.send_signal(signal.SIGTERM)
        assert process.finish() == 0, process.output
        assert "target-secret" not in process.output


@pytest.mark.parametrize("section", ["callers", "operators", "peers"])
def test_serve_fails_with_a_message_when_a_port_is_taken(settings_file, section):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        text = settings_file.read_text()
        if section == "peers":
            text = text.replace("port = 0\n[store]", f"port = {port}\n[store]")
        else:
            text = text.replace(f"[{section}]\nport = 0", f"[{section}]\nport = {port}")
        settings_file.write_text(text)
        with Process("serve", settings_file) as process:
            assert process.finish() == 1, process.output
            assert "cannot listen" in process.output
            assert "Traceback" not in process.output


def test_demo_writes_its_ready_file_and_stops_on_a_signal(tmp_path):
    path = tmp_path / "ready.json"
    with Process("demo", "--ready-file", path) as process:
        while not path.exists():
            assert process.popen.poll() is None, process.finish()
            time.sleep(0.05)
        found = msgspec.json.decode(path.read_bytes())
        for proxy in found["proxies"]:
            with socket.create_connection((proxy["host"], proxy["port"]), 5) as caller:
                assert caller.recv(1)
        process.popen.send_signal(signal.SIGINT)
        assert process.finish() == 0, process.output
