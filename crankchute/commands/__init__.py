"""The command line, a module for each command."""
