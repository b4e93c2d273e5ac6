"""Target status, write confirmation, promotion and the ledger of one database group."""
