"""Soak test: host processes on loopback under injected faults, with a checker of guarantees."""
