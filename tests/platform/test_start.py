"""Tests of the program's start: on half of a core, each millisecond of imports counts twice."""

import subprocess
import sys

# Together half of the imports' time; none is needed to serve a statement.
HEAVY_MODULES = ("prometheus_client", "reactivex", "logbook", "http.server", "ssl", "email")

REPORT = """
import sys
from pistachiowinch.platform.program import load
load()
print(*sys.modules)
import ssl
from pistachiowinch.base.metrics import Metrics
metrics = Metrics()
metrics.refusals.labels("queue_full").inc()
assert b'refusals_total{reason="queue_full"} 1.0' in metrics.render()
"""


def test_a_start_imports_nothing_that_the_first_statement_does_not_need():
    """Worst seconds: imports took 0.26 of 0.33 s of processor time before the first statement."""
    command = (sys.executable, "-c", REPORT)
    found = subprocess.run(command, capture_output=True, text=True, check=True, timeout=30.0)
    loaded = set(found.stdout.split())
    assert "pistachiowinch.entry.host" in loaded
    assert not loaded.intersection(HEAVY_MODULES)
