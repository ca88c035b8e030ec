"""Command-line interface, with one module per command."""
