"""Session state and choice of a target for a statement."""
