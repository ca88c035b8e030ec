"""Tests of `crankchute explain` on the logs of several instances."""

import orjson
import pytest

from crankchute.commands.main import main


def write_log(path, *lines):
    lines_json = [
        orjson.dumps(
            {
                'message_type': f'crankchute:{kind}',
                'timestamp': timestamp_s,
                **fields,
            }
        ).decode()
        for timestamp_s, kind, fields in lines
    ]
    path.write_text('\n'.join(lines_json))
    return str(path)


@pytest.fixture(name='logs')
def write_logs(tmp_path):
    first = write_log(
        tmp_path / 'one.log',
        (10.0, 'request', {'request': 'r1', 'config_version': 7}),
        (10.1, 'attempt', {'request': 'r1', 'server': 's1'}),
        (10.2, 'request', {'request': 'r2'}),
        (10.3, 'server_gone', {'server': 's1'}),
        (10.3, 'server_gone', {'server': 's9'}),
        (10.4, 'request_end', {'request': 'r1', 'code': '502'}),
        (11.0, 'log_omitted', {'omitted': {'crankchute:attempt': 3}}),
    )
    second = write_log(
        tmp_path / 'two.log',
        (9.0, 'attempt', {'request': 'r1', 'server': 's0'}),
        (10.3, 'store_lost', {'prefix': 'x'}),
    )
    return [first, second]


def test_history_includes_related_events_in_order(logs, capsys):
    assert main(['explain', 'r1', *logs]) == 0
    output = capsys.readouterr().out.splitlines()
    kinds = [line.split('  ')[-2].strip() for line in output[:-1]]
    assert kinds == [
        'attempt',
        'request',
        'attempt',
        'server_gone',
        'store_lost',
        'request_end',
    ]
    assert 's9' not in ''.join(output)
    assert 'r2' not in ''.join(output)
    assert 'left out' in output[-1]


def test_unknown_request_is_reported(logs, capsys):
    assert main(['explain', 'r3', *logs]) == 1
    assert 'r3' in capsys.readouterr().err


def test_missing_file_is_a_finding(tmp_path, capsys):
    assert main(['explain', 'r1', str(tmp_path / 'none')]) == 2
    assert 'none' in capsys.readouterr().err


def test_collected_lines_show_their_instance(tmp_path, capsys):
    path = tmp_path / 'all.log'
    path.write_text(
        'a heading\n'
        '   1.5 edge-1 {"request":"r1","message_type":"crankchute:request"}\n'
    )
    assert main(['explain', 'r1', str(path)]) == 0
    assert 'edge-1' in capsys.readouterr().out


def test_fingerprint_finds_all_submissions(tmp_path, capsys):
    """One request was submitted to two instances, with an id at each."""
    paths = [
        write_log(
            tmp_path / f'{name}.log',
            (timestamp_s, 'request', {'request': name, 'fingerprint': 'ab'}),
            (timestamp_s, 'request', {'request': 'r9', 'fingerprint': 'cd'}),
            (timestamp_s + 0.1, 'request_end', {'request': name}),
        )
        for name, timestamp_s in (('r1', 10.0), ('r2', 10.5))
    ]
    assert main(['explain', 'ab', *paths]) == 0
    output = capsys.readouterr().out
    assert output.count('request_end') == 2
    assert 'cd' not in output
