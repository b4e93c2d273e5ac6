"""In-memory and loopback stand-ins for the store, peers and targets, for tests and the demo."""
