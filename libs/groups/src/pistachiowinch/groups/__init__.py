"""Target status, write confirmation, promotion and the ledger."""
