"""Tests that each ablation applies to the current code."""

import ast
import shutil
from pathlib import Path

import pytest

from bench.ablations import main, mechanisms

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize('name', list(mechanisms))
def test_ablation_changes_a_copy(name, tmp_path):
    path = mechanisms[name].path
    copy = tmp_path / path
    copy.parent.mkdir(parents=True)
    shutil.copy(ROOT / path, copy)
    assert main([name, str(tmp_path)]) == 0
    changed = copy.read_text()
    assert changed != (ROOT / path).read_text()
    ast.parse(changed)
    # The replaced text is gone, so a second run fails.
    with pytest.raises(ValueError, match='not there once'):
        main([name, str(tmp_path)])


def test_unknown_ablation_is_reported(tmp_path, capsys):
    assert main(['luck', str(tmp_path)]) == 2
    assert 'luck' in capsys.readouterr().out
