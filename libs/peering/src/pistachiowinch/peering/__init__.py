"""Heartbeats and requests between the hosts of a site."""
