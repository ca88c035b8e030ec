"""Measurements, the demonstration, and what they need to run processes."""
