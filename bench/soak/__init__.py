"""Soak of real instances between simulated peers, judged by what these saw."""
