"""The protocol between entry instances, and the code generated from it."""
