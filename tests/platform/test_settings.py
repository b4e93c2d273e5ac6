"""Guards against limits of the machine that are ignored or misread."""

import msgspec
import pytest

from pistachiowinch.base.caller_limits import DEFAULT_MACHINE, MachineLimits
from pistachiowinch.platform.settings import SettingsError, read_settings
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
