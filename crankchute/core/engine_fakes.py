"""Test doubles of engines and their load reports."""

from crankchute.core.engine_board import Work
from crankchute.core.load_survey import ReportPort

_FIRST_EVENT_DUE_MS = 300


class FakeReports(ReportPort):
    """A ReportPort with canned loads.

    Attributes:
      loads: A map from a server's id to its ReportedLoad.
      asked: The ids of the servers that were polled, a list.
    """

    def __init__(self):
        """Create the port without loads."""
        self.loads = {}
        self.asked = []

    def ask(self, backend, on_load):
        """See ReportPort."""
        self.asked.append(backend.identity)
        load = self.loads.get(backend.identity)
        if load is not None:
            on_load(load)

    def check(self, backend, path):
        """See ReportPort."""
        self.asked.append(backend.identity)


def make_work(key, engine, **changes):
    """Return the Work of a short prompt.

    Args:
      key: The key of the work.
      engine: The engine's id.
      changes: Attributes that replace the defaults.
    """
    fields = {
        'read_ms': 30,
        'memory': 1000,
        'is_writer': True,
        'gap_ms': 250,
        'weight': 1,
        'until_ms': 60_000,
        'due_ms': _FIRST_EVENT_DUE_MS,
        'first_at_ms': 50,
        'goes_first': False,
    }
    fields.update(changes)
    return Work(key, engine, **fields)
