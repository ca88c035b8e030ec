"""Shared fixtures: the end of what tests start."""

import pytest

from crankchute.platform.standin_world import close_worlds


@pytest.fixture(autouse=True)
def _closed_worlds():
    """Close the connections of a test before the next one opens its own."""
    yield
    close_worlds()
