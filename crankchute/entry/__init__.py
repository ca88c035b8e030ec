"""Components of an entry instance, assembled by daemons and embedders."""
