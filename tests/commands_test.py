"""The command line: results, findings and exit codes."""

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


def _seeds(cluster):
    return ','.join(f'{host}:{port}' for host, port in cluster.seeds)


def _run(words):
    try:
        return main(words)
    except SystemExit as exc:
        return exc.code


def test_call_reads_a_file(cluster, tmp_path, capsys):
    """The whole answer is printed."""
    source = tmp_path / 'prompt.txt'
    source.write_text('Zürich – Łódź', encoding='utf-8')
    code = _run(
        [
            'call',
            f'--seeds={_seeds(cluster)}',
            '--account=north-terminal',
            '--class=fares',
            '--max-tokens=3',
            str(source),
        ]
    )
    wanted = expected_answer('small', source.read_bytes(), 3)
    assert code == 0
    assert capsys.readouterr().out == f'{wanted}\n'


def test_call_that_is_refused(cluster, tmp_path, capsys):
    """A refusal goes to standard error with its outcome, and 1 is returned."""
    source = tmp_path / 'prompt.txt'
    source.write_text('a fare', encoding='utf-8')
    code = _run(
        [
            'call',
            f'--seeds={_seeds(cluster)}',
            '--account=north-terminal',
            '--class=complaints',
            str(source),
        ]
    )
    assert code == 1
    assert capsys.readouterr().err.startswith('not_run: unknown_class')


def test_load_reports_and_plots(cluster, tmp_path, capsys):
    """A small run gives its JSON report and a plot."""
    mix = tmp_path / 'mix.json'
    mix.write_bytes(orjson.dumps(_MIX))
    plot = tmp_path / 'plot.png'
    code = _run(
        [
            'load',
            str(mix),
            f'--seeds={_seeds(cluster)}',
            '--rate=20',
            '--duration-s=1',
            '--check-answers=yes',
            f'--plot={plot}',
        ]
    )
    report = orjson.loads(capsys.readouterr().out)
    assert code == 0
    assert report['outcomes'] == {'ok': report['asked']}
    assert not report['wrong_answers']
    assert report['slowdown']['1-4k']['count'] == report['asked']
    assert plot.read_bytes().startswith(b'\x89PNG')


def test_dump_prints_the_state(cluster, capsys):
    """The state of a running process is printed as JSON."""
    host, port = cluster.seeds[0]
    assert _run(['dump', f'{host}:{port}']) == 0
    state = orjson.loads(capsys.readouterr().out)
    assert state['phase'] == 'serving'
    assert not state['instance_findings']


@pytest.mark.parametrize(
    ('words', 'findings'),
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
def test_all_findings_at_once(words, findings, capsys):
    """Every wrong setting is named, and the exit code is 2."""
    assert _run(words) == 2
    lines = capsys.readouterr().err.splitlines()
    places = [line.split(':')[0] for line in lines]
    assert set(findings) <= set(places)


def test_environment_is_read_and_flags_go_first(monkeypatch, capsys):
    """A variable gives a setting unless a flag does."""
    monkeypatch.setenv('CRANKCHUTE_INSTANCE', 'Bad Name')
    assert _run(['entry']) == 2
    assert 'CRANKCHUTE_INSTANCE' in capsys.readouterr().err
    assert _run(['entry', '--instance=good']) == 2
    assert 'CRANKCHUTE_INSTANCE' not in capsys.readouterr().err


@pytest.mark.parametrize('text', [b'{', b'[]', b'[{"account": 5}]'])
def test_bad_mix_is_named(text, tmp_path, capsys):
    """A mix that cannot be read is a finding."""
    mix = tmp_path / 'mix.json'
    mix.write_bytes(text)
    assert _run(['load', str(mix), '--seeds=127.0.0.1:1']) == 2
    assert str(mix) in capsys.readouterr().err
