"""Guards against invalid settings, configurations and registry entries being used."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowinch.fleet.records import HostRecord, decode_record
from pistachiowinch.limits.bucket import RateLimit
from pistachiowinch.links.store import KeyValue
from pistachiowinch.platform.documents import decode_configuration, decode_target
from pistachiowinch.platform.settings import SettingsError, read_settings
from pistachiowinch.sessions.site import Consistency

SYNC = {"name": "sync", "syncReplicas": 1}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "db1",
            "prefix": "/",
            "kind": "read_your_writes",
            "timeoutMs": 1000,
            "targetLatencyMs": 400,
            "priority": 2,
            "service": "svc",
            "maxAttempts": 2,
            "maxStalenessMs": 2500,
            "public": False,
        }
    ],
    "services": [{"name": "svc", "healthPath": "/health", "maxConns": 33, "unknown": 1}, SYNC],
    "limits": {"maxBodyBytes": 100, "txIdleMs": 2000},
    "tenants": [{"name": "carp", "apiKeys": ["k1", "k2"], "ratePerS": 59, "burst": 60}],
}
ENTRY = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 5,
    "state": "ready",
    "coldMs": 0,
    "dbRole": "replica",
    "seq": 4,
    "born": 1700,
}
SETTINGS = {
    "node": "h1",
    "ip": "10.1.0.26",
    "zone": "z1",
    "listen": {"front": "10.1.0.26:8465", "ready": "10.1.0.26:8460"},
    "portRange": [7560, 7575],
    "platform": {"address": "10.200.1.7:8466"},
    "cloudApi": {"address": "10.200.0.2:8466"},
    "bounds": {"graceS": 6},
    "later": {"field": 1},
}


DEEP_LIST = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECT = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


def item(value: object) -> KeyValue:
    """Return a stored entry of a target."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return KeyValue("servers/i-1", data, 1)


def test_a_configuration_is_decoded_into_the_product_s_words():
    """CONFIG: every field that is used must be decoded, with times in seconds."""
    found = decode_configuration(item(CONFIGURATION))
    route = found.routes["db1"]
    assert (found.version, route.consistency) == (7, Consistency.READ_YOUR_WRITES)
    assert (route.timeout_s, route.max_staleness_s) == (1.0, 2.5)
    assert found.customers == {"k1": "carp", "k2": "carp"}
    assert found.rates == {"carp": RateLimit(59, 60)}
    assert found.services["svc"].max_connections == 33
    assert found.sync_replicas == {"sync": 1}
    assert (found.transaction_idle_s, found.max_statement_bytes) == (2.0, 100)


def test_an_unreadable_configuration_is_told():
    """An unreadable configuration must not be taken for an empty one."""
    with pytest.raises(msgspec.DecodeError):
        decode_configuration(item(b"{"))


def test_a_target_is_decoded():
    """A registered replica must be found under its id."""
    target = decode_target(item(ENTRY))
    assert (target.name, target.address, target.started_ms) == ("i-1", "10.0.0.1:80", 1700)
    assert not target.is_leaving and not target.claims_primary
    assert decode_target(item({**ENTRY, "state": "draining"})).is_leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"dbRole": "leader"},
        {"address": "nowhere"},
        {"address": 5},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:" + "9" * 5000},
        {"address": "a b:80"},
        {"service": ""},
        {"service": "a b"},
        {"service": "a\r\nQUERY - DEMOTE 9"},
        {"version": 1},
        {"slots": 10**400},
        {"slots": -1},
        {"coldMs": []},
        {"coldMs": -1},
        {"born": 10**30},
        {"seq": 10**30},
        {"born": "x"},
        {"seq": "x"},
        {"zone": None},
    ],
)
def test_a_foreign_entry_names_no_target(change):
    """An invalid entry must be left out and must not prevent the decoding of others."""
    assert decode_target(item({**ENTRY, **change})) is None


@pytest.mark.parametrize("field", [name for name in ENTRY if name != "born"])
def test_an_entry_without_a_field_names_no_target(field):
    """RECOVER, review/4: an incomplete entry that claimed to be a primary hid the real one."""
    assert decode_target(item({name: ENTRY[name] for name in ENTRY if name != field})) is None


@pytest.mark.parametrize("name", ["", "a b", "a\r\n", "\u00e9", "x" * 500])
def test_a_name_that_is_no_word_names_no_target(name):
    """UNASKED: the name of a target is a word of the message that opens a connection."""
    assert decode_target(item(ENTRY)._replace(key=f"servers/{name}")) is None


@pytest.mark.parametrize("value", [DEEP_LIST, DEEP_OBJECT, b"1e999", b"9" * 5000])
@pytest.mark.parametrize("field", [*ENTRY, "another"])
def test_an_odd_value_in_any_field_raises_no_error(field, value):
    """A deeply nested value or a large number in one entry ended the following of all entries."""
    text = json.dumps({**ENTRY, field: "odd"}).encode()
    target = decode_target(item(text.replace(b'"odd"', value)))
    assert target is None or (field == "another" and value not in (DEEP_LIST, DEEP_OBJECT))


@pytest.mark.parametrize("value", [DEEP_LIST, DEEP_OBJECT])
def test_a_deeply_nested_document_is_refused_like_any_malformed_one(value):
    """RecursionError is not an error of the decoder, and nobody else expects it."""
    assert decode_target(item(value)) is None
    with pytest.raises(ValueError, match="nested"):
        decode_configuration(item(b'{"version": 1, "routes": [], "more": ' + value + b"}"))
    text = b'{"host": "a", "run": 1, "availability_zone": "", "peer_url": "", "more": %s}' % value
    assert decode_record(item(text), HostRecord) is None


@given(st.binary(max_size=60))
def test_any_bytes_in_the_registry_cost_nothing(data):
    """Arbitrary bytes in the registry must not raise an error."""
    assert decode_target(item(data)) is None


def test_settings(tmp_path):
    """Known fields are decoded, unknown ones are ignored."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    found = read_settings(path)
    assert (found.host, found.peer_url, found.stop_within_s) == ("h1", "tcp://10.1.0.26:7560", 6)
    assert found.apply_within_s is None
    path.write_text(json.dumps({**SETTINGS, "bounds": {"graceS": 6, "configApplyMs": 3000}}))
    assert read_settings(path).apply_within_s == 3.0


BAD_BOUNDS = {"bounds": {"configApplyMs": 0}}


def test_all_faults_of_the_settings_are_named_at_once(tmp_path):
    """An operator must see all faults in one message."""
    path = tmp_path / "settings.json"
    path.write_text(
        json.dumps({**SETTINGS, "node": "", "listen": {}, "portRange": [0]} | BAD_BOUNDS)
    )
    with pytest.raises(SettingsError) as error:
        read_settings(path)
    for field in ("node", "listen.front", "listen.ready", "portRange", "configApplyMs"):
        assert field in str(error.value)


def test_unreadable_settings(tmp_path):
    """A missing or malformed file must raise SettingsError and nothing else."""
    with pytest.raises(SettingsError):
        read_settings(tmp_path / "absent.json")
    path = tmp_path / "broken.json"
    path.write_text("{")
    with pytest.raises(SettingsError):
        read_settings(path)
