"""Specifications of the core protocols and a bounded model checker for them."""
