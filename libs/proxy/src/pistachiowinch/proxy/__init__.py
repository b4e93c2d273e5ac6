"""MySQL server protocol for the connections of callers."""
