"""Runs the tests, and passes over just those that KNOWN-RED.txt lists.

Each line of that file is `test id | cause | issue`; three at most.  A listed
test that passes is an error too, so that the list cannot grow old.
"""

import subprocess  # noqa: S404
import sys
from pathlib import Path

_LIST_PATH = Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
_MOST = 3
_TOO_MANY = 3


def read_list():
    """Return the lines of the list, without empty ones."""
    if not _LIST_PATH.exists():
        return []
    lines = _LIST_PATH.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line.strip()]


def main(command):
    """Run the tests.

    Args:
      command: The words of the test command.
    Returns:
      The exit code.
    """
    known = read_list()
    if len(known) > _MOST:
        print(f'KNOWN-RED.txt lists more than {_MOST} tests')
        return _TOO_MANY
    tests = [line.split('|')[0].strip() for line in known]
    deselected = [f'--deselect={test}' for test in tests]
    code = subprocess.call([*command, *deselected])  # noqa: S603
    for line in known:
        print(f'known red: {line}')
    for test in tests:
        if not subprocess.call([*command, test]):  # noqa: S603
            print(f'{test} passes; take it off the list')
            code = 1
    return code


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
