"""Configuration document, numbered patches, roster and standing."""
