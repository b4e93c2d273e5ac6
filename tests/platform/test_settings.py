"""Guards against limits of the machine that are ignored or misread."""

import msgspec
import pytest

from pistachiowinch.base.caller_limits import DEFAULT_MACHINE, MachineLimits
from pistachiowinch.platform.settings import SettingsError, read_settings
from pistachiowinch.sessions.target_loads import DEFAULT_ZONE_COST
from pistachiowinch.standins.platform_documents import HostRow, settings_bytes

ROW = HostRow(
    "h", "127.0.0.1", "za", "127.0.0.1:1", "127.0.0.1:2", 3, "127.0.0.1:4", "127.0.0.1:5", 3.0
)


def write_settings(folder, limits):
    """Write a settings file with these limits and return its path."""
    path = folder / "settings.json"
    fields = msgspec.json.decode(settings_bytes(ROW))
    path.write_bytes(msgspec.json.encode(fields | limits))
    return path


@pytest.mark.parametrize(
    ("limits", "machine"),
    [
        ({}, DEFAULT_MACHINE),
        ({"limits": {"cpuShare": 0.5}}, DEFAULT_MACHINE),
        ({"limits": {"memoryMb": 300, "maxFds": 8192}}, MachineLimits(300 * 1024**2, 8192)),
    ],
)
def test_the_limits_of_the_machine(tmp_path, limits, machine):
    """A host that assumes too large a machine is ended; one too small refuses callers."""
    assert read_settings(write_settings(tmp_path, limits)).machine == machine


def test_impossible_limits_are_a_fault(tmp_path):
    """A host without memory or descriptors would refuse every caller."""
    path = write_settings(tmp_path, {"limits": {"memoryMb": 0, "maxFds": -1}})
    with pytest.raises(SettingsError, match=r"limits\.memoryMb is 0.*limits\.maxFds is -1"):
        read_settings(path)


def test_the_weights_of_zones_come_from_the_environment(tmp_path, monkeypatch):
    """Operators could not keep requests in their zone, or a typing error would be ignored."""
    path = write_settings(tmp_path, {})
    assert read_settings(path).zone_cost == DEFAULT_ZONE_COST
    monkeypatch.setenv("PISTACHIOWINCH_ZONE_SPEED_WEIGHT", "0")
    monkeypatch.setenv("PISTACHIOWINCH_ZONE_BYTE_WEIGHT_MS", "20")
    assert read_settings(path).zone_cost == (0.0, 0.02)
    monkeypatch.setenv("PISTACHIOWINCH_ZONE_BYTE_WEIGHT_MS", "much")
    with pytest.raises(SettingsError, match="ZONE_BYTE_WEIGHT_MS is 'much'"):
        read_settings(path)
