"""Model-checked specifications of the core protocols."""
