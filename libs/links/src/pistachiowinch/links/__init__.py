"""Interfaces to the outside: store, targets, peers and host list."""
