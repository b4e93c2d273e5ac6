"""Clock, result codes, session tokens, identities, hashing, logs and metrics."""
