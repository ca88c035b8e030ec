"""Tests of cutting prompts for groups of engines."""

import pytest

from crankchute.core.group_flow import cut_prompt


@pytest.mark.parametrize('text', ['plain words', 'Zürich–Łódź', '票' * 7, 'é'])
@pytest.mark.parametrize('count', [1, 2, 3, 4])
def test_no_character_is_cut_through(text, count):
    """Each part is text of its own, and together they are the prompt."""
    parts = cut_prompt(text.encode(), count)
    assert len(parts) == count
    assert ''.join(part.decode() for part in parts) == text
