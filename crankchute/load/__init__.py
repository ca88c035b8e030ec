"""The load generator: traffic mixes, open-loop arrivals and reports."""
