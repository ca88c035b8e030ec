"""Tests of whole processes."""
