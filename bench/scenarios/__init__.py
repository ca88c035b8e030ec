"""The promises of the brief, each with the faults that it is meant for."""
