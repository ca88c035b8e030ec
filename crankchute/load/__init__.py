"""The load tool: mixes, open-loop arrivals, reports."""
