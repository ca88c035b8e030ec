"""Tests of whole processes and of simulations."""
