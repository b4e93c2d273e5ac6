"""Settings, command line, operators HTTP interface, daemon and demo."""
