"""Guards against settings faults that are reported one at a time, late, or with a secret."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from pistachiowinch.operations.settings import SETTINGS, parse_settings, read_settings

MINIMAL = """
[host]
name = host-a
availability_zone = zone-a
site = hire
[peers]
address = 10.0.0.1
[store]
endpoints = http://10.0.0.9:2379
[targets]
user = proxy
password = target-secret
"""


def _faults(text):
    match parse_settings(text):
        case Failure(faults):
            return faults
    raise AssertionError("the settings were accepted")


def test_minimal_file_takes_the_defaults():
    read = parse_settings(MINIMAL).unwrap()
    assert read.host.name == "host-a"
    assert read.callers.port == 3306
    assert read.operators.address == "127.0.0.1"
    assert read.operators.metrics_open is False
    assert read.peers.known == ()
    assert read.targets.password == "target-secret"


def test_all_faults_are_reported_at_once():
    faults = _faults("""
[host]
name = Host A
site = hire
[callers]
port = 70000
colour = red
[peers]
address = nowhere
[store]
endpoints = http://10.0.0.9:2379, http://10.0.0.9:2379
[targets]
user =
[operators]
address = 0.0.0.0
[logging]
level = LOUD
""")
    places = {(fault.section, fault.key) for fault in faults}
    assert places == {
        ("host", "name"),
        ("host", "availability_zone"),
        ("callers", "port"),
        ("callers", "colour"),
        ("peers", "address"),
        ("store", "endpoints"),
        ("targets", "user"),
        ("operators", "address"),
        ("logging", ""),
    }
    assert all(fault.allowed for fault in faults)


@pytest.mark.parametrize("address", ["0.0.0.0", "10.0.0.1", "::"])
def test_operators_address_beyond_loopback_needs_an_explicit_setting(address):
    text = MINIMAL + f"[operators]\naddress = {address}\n"
    assert [fault.key for fault in _faults(text)] == ["address"]
    assert isinstance(parse_settings(text + "allow_remote = yes\n"), Success)


@pytest.mark.parametrize(
    "line",
    ["connect_timeout_s = nan", "connect_timeout_s = -1", "connect_timeout_s = soon"],
)
def test_durations_out_of_range_are_refused(line):
    assert [fault.key for fault in _faults(MINIMAL + line)] == ["connect_timeout_s"]


def test_two_listeners_on_one_port_are_refused():
    text = MINIMAL + "[callers]\nport = 8600\n"
    assert [(fault.section, fault.key) for fault in _faults(text)] == [("operators", "port")]


def test_no_fault_shows_a_secret():
    text = MINIMAL + "pasword = spelled-wrong\n[operators]\nbootstrap_key_hash = plain-key\n"
    shown = " ".join(str(fault) for fault in _faults(text))
    assert "spelled-wrong" not in shown
    assert "plain-key" not in shown


def test_syntax_faults_do_not_hide_value_faults_or_show_the_line():
    text = MINIMAL + "password = twice\nleaked-password\n[callers]\nport = x\n"
    faults = _faults(text)
    assert {("targets", "password"), ("callers", "port")} <= {
        (fault.section, fault.key) for fault in faults
    }
    assert "leaked-password" not in " ".join(str(fault) for fault in faults)


def test_unreadable_files_are_faults(tmp_path):
    missing = tmp_path / "missing.ini"
    binary = tmp_path / "binary.ini"
    binary.write_bytes(b"\xff\xfe\x00")
    large = tmp_path / "large.ini"
    large.write_text("x" * 300_000)
    for path in (missing, binary, large, Path(tmp_path)):
        assert isinstance(read_settings(path), Failure)


@settings(derandomize=True, database=None, max_examples=200)
@given(st.text(alphabet="[]=abhost#;:%$ \n\t\x00é", max_size=80))
def test_arbitrary_text_gives_faults_and_never_raises(text):
    assert isinstance(parse_settings(text), Failure)


def test_every_default_is_allowed():
    for setting in SETTINGS:
        if setting.default is not None:
            setting.parse(setting.default)
