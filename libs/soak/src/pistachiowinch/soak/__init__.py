"""Fault soak: real hosts as processes on loopback, faults from outside, promises checked."""
