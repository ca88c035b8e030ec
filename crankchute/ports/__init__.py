"""Interfaces between the core and its adapters, as abstract classes."""
