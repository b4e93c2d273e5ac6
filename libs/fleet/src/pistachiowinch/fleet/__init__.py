"""Hosts that meet at a polling store: who they are, and which target is each service's primary."""
