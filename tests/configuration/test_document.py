"""Guards against invalid documents that are accepted and against faults reported one by one."""

import pytest
from returns.result import Failure

from pistachiowinch.configuration.chunks import (
    MAX_CHUNK_BYTES,
    DocumentTooLarge,
    join_chunks,
    split_document,
)
from pistachiowinch.configuration.document import (
    EMPTY_DOCUMENT,
    customer_services,
    find_key,
    targets_in_use,
    zone_state,
)
from pistachiowinch.configuration.patches import PatchOperation, apply_operations, diff_documents
from pistachiowinch.configuration.validation import describe_faults, find_faults

TARGET = {
    "address": "10.0.0.1",
    "port": 3306,
    "availability_zone": "z1",
    "slots": 5,
    "connections": 30,
    "state": "in",
}


def document():
    return {
        "customers": {
            "m": {"rate_per_s": 5.0, "burst": 10, "weight": 1.0, "services": ["hire"]},
        },
        "keys": {"k1": {"customer": "m", "password_hash": "*" + "A0" * 20}},
        "services": {
            "hire": {
                "is_open": False,
                "ledger": "always",
                "targets": {
                    "t1": TARGET,
                    "t2": TARGET | {"state": "leaving"},
                    "t3": TARGET | {"availability_zone": "z2"},
                },
            }
        },
        "availability_zones": {"z1": {"state": "in"}, "z2": {"state": "out"}},
        "operators": {"o": {"key_hash": "0f" * 32}},
    }


def test_valid_documents_have_no_faults():
    assert find_faults(document()) == []
    assert find_faults(EMPTY_DOCUMENT) == []


def test_accessors_find_entries():
    found = document()
    assert find_key(found, "k1")["customer"] == "m"
    assert find_key(found, "k2") is None
    assert customer_services(found, "m") == ("hire",)
    assert customer_services(found, "x") == ()
    assert list(targets_in_use(found, "hire")) == ["t1"]
    assert targets_in_use(found, "x") == {}
    assert [zone_state(found, zone) for zone in ("z1", "z2", "z9")] == ["in", "out", "in"]


def test_all_faults_are_reported_at_once_with_path_value_and_allowed():
    broken = document()
    broken["customers"]["m"] |= {"rate_per_s": -1, "weight": float("nan"), "colour": "red"}
    broken["services"]["hire"]["targets"]["t1"] = TARGET | {"port": True, "state": "gone"}
    del broken["services"]["hire"]["ledger"]
    broken["extra"] = {}
    broken["availability_zones"]["z 1"] = []
    faults = {"/".join(fault.path): fault for fault in find_faults(broken)}
    assert set(faults) == {
        "extra",
        "customers/m/rate_per_s",
        "customers/m/weight",
        "customers/m/colour",
        "services/hire/targets/t1/port",
        "services/hire/targets/t1/state",
        "services/hire/ledger",
        "availability_zones/z 1",
    }
    fault = faults["customers/m/rate_per_s"]
    assert (fault.value, fault.allowed) == ("-1", "a number of at least 0")
    assert "customers/m/rate_per_s is -1" in describe_faults(list(faults.values()))


def test_faults_never_show_hashes():
    broken = document()
    broken["keys"]["k1"]["password_hash"] = "plain-secret"
    assert "plain-secret" not in describe_faults(find_faults(broken))


@pytest.mark.parametrize(
    "path, value",
    [
        (("keys", "k1", "customer"), "nobody"),
        (("customers", "m", "services"), ["nothing"]),
        (("services", "hire", "is_open"), True),
        (("services", "hire", "targets", "t1", "availability_zone"), "z9"),
    ],
)
def test_unresolved_references_are_faults(path, value):
    result = apply_operations(document(), [PatchOperation("set", list(path), value)])
    assert [fault.path for fault in result.failure()] == [path]


@pytest.mark.parametrize("junk", [[], None, 5, "x", {"m": 5}, {"m": []}, {5: {}}])
def test_junk_in_any_section_is_a_fault_and_no_exception(junk):
    for section in EMPTY_DOCUMENT:
        assert find_faults(EMPTY_DOCUMENT | {section: junk})


def test_patch_leaves_the_old_document_alone():
    old = document()
    operations = [
        PatchOperation("set", ["services", "hire", "targets", "t1", "state"], "leaving"),
        PatchOperation("remove", ["keys", "k1"]),
    ]
    new = apply_operations(old, operations).unwrap()
    assert old == document()
    assert new["services"]["hire"]["targets"]["t1"]["state"] == "leaving"
    assert new["keys"] == {}
    assert apply_operations(old, diff_documents(old, new)).unwrap() == new


@pytest.mark.parametrize(
    "operation",
    [
        PatchOperation("set", [], {}),
        PatchOperation("set", ["customers"], {}),
        PatchOperation("set", ["nowhere", "x"], {}),
        PatchOperation("remove", ["customers", "x"]),
        PatchOperation("set", ["customers", "x", "weight"], 1.0),
        PatchOperation("set", ["customers", "m", "weight", "x"], 1.0),
    ],
)
def test_impossible_operations_are_faults(operation):
    assert isinstance(apply_operations(document(), [operation]), Failure)


def large_document(count):
    hash_text = "*" + "0" * 40
    keys = {f"k{i}": {"customer": "m", "password_hash": hash_text} for i in range(count)}
    return document() | {"keys": keys}


def test_chunks_stay_small_and_equal_documents_have_equal_digests():
    found = large_document(20_000)
    chunked = split_document(found)
    assert max(map(len, chunked.contents.values())) < MAX_CHUNK_BYTES
    assert join_chunks(chunked.names, chunked.contents) == found
    turned = found | {"keys": dict(reversed(found["keys"].items()))}
    assert split_document(turned).digest == chunked.digest


def test_small_patch_changes_one_chunk_of_a_large_document():
    before = split_document(large_document(20_000))
    after = split_document(large_document(20_001))
    assert len(set(after.contents) - set(before.contents)) == 1


def test_altered_missing_and_oversized_chunks_are_detected():
    chunked = split_document(document())
    digest = chunked.names["keys/0.1"]
    for contents in (chunked.contents | {digest: b"{}"}, {}):
        with pytest.raises(ValueError, match="missing or altered"):
            join_chunks(chunked.names, contents)
    huge = document()
    huge["services"]["hire"]["targets"]["t1"] = TARGET | {"address": "x" * 600_000}
    with pytest.raises(DocumentTooLarge):
        split_document(huge)
