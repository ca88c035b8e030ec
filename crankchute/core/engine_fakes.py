"""Test doubles of engines and their load reports."""

from crankchute.core.engine_work import WorkItem
from crankchute.core.initial_load_poll import ReportPort

_FIRST_EVENT_DUE_MS = 300


class FakeReports(ReportPort):
    """A ReportPort with canned loads.

    Attributes:
      loads: A map from a server's id to its ReportedLoad.
      polled: The ids of the servers that were polled, a list.
    """

    def __init__(self):
        """Create the port without loads."""
        self.loads = {}
        self.polled = []

    def request_load(self, backend, on_load):
        """See ReportPort."""
        self.polled.append(backend.identity)
        load = self.loads.get(backend.identity)
        if load is not None:
            on_load(load)

    def check_health(self, backend, path):
        """See ReportPort."""
        self.polled.append(backend.identity)


def make_work_item(key, engine, **changes):
    """Return the WorkItem of a short prompt.

    Args:
      key: The key of the work.
      engine: The engine's id.
      changes: Attributes that replace the defaults.
    """
    fields = {
        'prefill_ms': 30,
        'memory': 1000,
        'is_decoding': True,
        'gap_ms': 250,
        'weight': 1,
        'priority': 1,
        'until_ms': 60_000,
        'due_ms': _FIRST_EVENT_DUE_MS,
        'first_event_at_ms': 50,
        'is_prioritized': False,
        'account': 0,
    }
    fields.update(changes)
    return WorkItem(key, engine, **fields)
