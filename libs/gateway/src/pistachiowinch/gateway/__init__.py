"""Runs one statement of one session."""
