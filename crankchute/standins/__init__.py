"""Simulated external systems for tests and benchmarks."""
