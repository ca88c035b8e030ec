"""Decisions, without sockets, threads, clock reads or global randomness."""
