"""The specification of the core protocol."""
