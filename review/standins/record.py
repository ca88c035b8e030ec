"""The record of a case: what was sent, answered and run."""

import time


class Record:
    """Lines with the time since the record began, in a file."""

    def __init__(self, path):
        self._begun = time.time()
        self._file = open(path, 'w', encoding='utf-8')

    def elapsed(self, at=None):
        """Return the seconds from the beginning to a time."""
        return (time.time() if at is None else at) - self._begun

    def write(self, text, at=None):
        """Add a line, in the file and on standard output."""
        line = f'{self.elapsed(at):8.3f} s  {text}'
        self._file.write(f'{line}\n')
        self._file.flush()
        print(line, flush=True)
