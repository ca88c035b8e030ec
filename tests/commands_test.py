"""Tests of the command line: output, findings and exit codes."""

import orjson
import pytest

from crankchute.commands.main import main
from crankchute.standins.engine_model import expected_answer

_MIX = (
    {
        'account': 'north-terminal',
        'class': 'fares',
        'tokens': [1000, 2000],
        'max_tokens': 3,
    },
)


def _format_seeds(cluster):
    return ','.join(f'{host}:{port}' for host, port in cluster.seeds)


def _run(arguments):
    try:
        return main(arguments)
    except SystemExit as exc:
        return exc.code


def test_call_prints_the_answer(cluster, tmp_path, capsys):
    """`call` prints the answer to the prompt in a file."""
    prompt_file = tmp_path / 'prompt.txt'
    prompt_file.write_text('Zürich – Łódź', encoding='utf-8')
    exit_code = _run(
        [
            'call',
            f'--seeds={_format_seeds(cluster)}',
            '--account=north-terminal',
            '--class=fares',
            '--max-tokens=3',
            str(prompt_file),
        ]
    )
    expected = expected_answer('small', prompt_file.read_bytes(), 3)
    assert exit_code == 0
    assert capsys.readouterr().out == f'{expected}\n'


def test_rejected_call(cluster, tmp_path, capsys):
    """A rejected call prints its outcome to standard error and returns 1."""
    prompt_file = tmp_path / 'prompt.txt'
    prompt_file.write_text('a fare', encoding='utf-8')
    exit_code = _run(
        [
            'call',
            f'--seeds={_format_seeds(cluster)}',
            '--account=north-terminal',
            '--class=complaints',
            str(prompt_file),
        ]
    )
    assert exit_code == 1
    assert capsys.readouterr().err.startswith('not_run: unknown_class')


def test_load_writes_report_and_plot(cluster, tmp_path, capsys):
    """`load` prints a JSON report and writes a plot."""
    mix = tmp_path / 'mix.json'
    mix.write_bytes(orjson.dumps(_MIX))
    plot = tmp_path / 'plot.png'
    exit_code = _run(
        [
            'load',
            str(mix),
            f'--seeds={_format_seeds(cluster)}',
            '--rate=20',
            '--duration-s=1',
            '--check-answers=yes',
            f'--plot={plot}',
        ]
    )
    report = orjson.loads(capsys.readouterr().out)
    assert exit_code == 0
    assert report['outcomes'] == {'ok': report['asked']}
    assert not report['wrong_answers']
    assert report['slowdown']['1-4k']['count'] == report['asked']
    assert plot.read_bytes().startswith(b'\x89PNG')


def test_dump_prints_the_state(cluster, capsys):
    """`dump` prints the state of a running process as JSON."""
    host, port = cluster.seeds[0]
    assert _run(['dump', f'{host}:{port}']) == 0
    state = orjson.loads(capsys.readouterr().out)
    assert state['phase'] == 'serving'
    assert not state['instance_findings']


@pytest.mark.parametrize(
    ('arguments', 'findings'),
    [
        (['entry', '--instance=A'], ['--instance', '--data-centre', '--http']),
        (['entry', '--http=host:1'], ['--http', '--peer', '--platform']),
        (['call', '--seeds=1.2.3.4'], ['--seeds', '--account', '--class']),
        (['load', '/nowhere', '--seeds=1.2.3.4:1', '--rate=0'], ['--rate']),
        (['load', '/nowhere', '--seeds=1.2.3.4:1'], ['/nowhere']),
        (['check', '/nowhere'], ['/nowhere']),
        (['dump', 'nonsense'], ['nonsense']),
        (['standin', 'engine', '--models=Bad'], ['--bind', '--models']),
    ],
)
def test_all_findings_are_reported(arguments, findings, capsys):
    """Every invalid setting is reported, with exit code 2."""
    assert _run(arguments) == 2
    lines = capsys.readouterr().err.splitlines()
    locations = [line.split(':')[0] for line in lines]
    assert set(findings) <= set(locations)


def test_flags_override_the_environment(monkeypatch, capsys):
    """A flag takes precedence over the environment variable."""
    monkeypatch.setenv('CRANKCHUTE_INSTANCE', 'Bad Name')
    assert _run(['entry']) == 2
    assert 'CRANKCHUTE_INSTANCE' in capsys.readouterr().err
    assert _run(['entry', '--instance=good']) == 2
    assert 'CRANKCHUTE_INSTANCE' not in capsys.readouterr().err


@pytest.mark.parametrize('mix_bytes', [b'{', b'[]', b'[{"account": 5}]'])
def test_invalid_mix_is_reported(mix_bytes, tmp_path, capsys):
    """An invalid mix is reported with its path."""
    mix = tmp_path / 'mix.json'
    mix.write_bytes(mix_bytes)
    assert _run(['load', str(mix), '--seeds=127.0.0.1:1']) == 2
    assert str(mix) in capsys.readouterr().err
