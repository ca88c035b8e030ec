"""Fault scenarios that check the guarantees of crankchute on a cluster."""
