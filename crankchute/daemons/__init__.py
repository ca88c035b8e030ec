"""Processes that run the components of the library."""
