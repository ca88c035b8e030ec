"""The parts of an entry instance, which daemons and embedders wire up."""
