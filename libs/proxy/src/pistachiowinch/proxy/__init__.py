"""The callers side: MySQL server protocol."""
