"""Sessions of callers over a protocol that names each statement's kind and log positions."""
