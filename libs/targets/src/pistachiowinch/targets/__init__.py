"""Connections to targets over the MySQL protocol."""
