"""Thin processes over the library."""
