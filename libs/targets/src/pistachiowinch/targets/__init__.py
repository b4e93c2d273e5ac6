"""Connections to targets by the MySQL protocol."""
