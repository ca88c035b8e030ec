"""Benchmarks, simulations, fault injection and the demonstration."""
