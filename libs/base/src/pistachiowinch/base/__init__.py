"""Clock, result codes, session tokens, host identities, hashing, HTTP, logs and metrics."""
