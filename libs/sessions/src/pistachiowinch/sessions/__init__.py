"""Caller sessions over a protocol that states each statement's kind and log positions."""
