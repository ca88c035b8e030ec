"""Counts what instances send each other after the store lost its history.

One instance reads the whole list of servers again; the others, whose lists are
of different ages, ask it for changes.  Run it with `python -m bench.list_updates`.
"""

import random

from crankchute.adapters.peer_records import write_changes
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_list import ServerList

_INSTANCES = 780
_SERVERS = 2900
_PAYLOAD = b'x' * 250
_CHANGES = 20
#: The share of instances that ask after each change.
_ASKING_SHARE = 0.2


class _Store:
    """The entries of the servers, one of which is replaced at a time."""

    def __init__(self, draw):
        self._draw = draw
        self.revision = _SERVERS
        self.entries = {
            f's{number}': Entry(number, _PAYLOAD)
            for number in range(1, _SERVERS + 1)
        }

    def replace_server(self):
        """Replace a server by another one; return the ChangeSet."""
        since = self.revision
        name = self._draw.choice(sorted(self.entries))
        self.entries.pop(name)
        added = f's{since + 2}'
        self.entries[added] = Entry(since + 2, _PAYLOAD)
        self.revision += 2
        changed = {name: Entry(since + 1, None), added: self.entries[added]}
        return ChangeSet(since, self.revision, changed)

    def read(self):
        """Return the whole list."""
        return ChangeSet(0, self.revision, dict(self.entries))


def _apply(servers, changes):
    if changes.since:
        servers.apply_changes(changes)
    else:
        servers.replace_all(changes)


def run(seed=1):
    """Return the ChangeSets that the other instances get after the loss.

    Args:
      seed: An int.
    """
    draw = random.Random(seed)
    store = _Store(draw)
    reader = ServerList()
    reader.replace_all(store.read())
    others = [ServerList() for _ in range(_INSTANCES - 1)]
    for servers in others:
        servers.replace_all(reader.changes_since(0))
    for _ in range(_CHANGES):
        reader.apply_changes(store.replace_server())
        asking = draw.sample(others, int(_INSTANCES * _ASKING_SHARE))
        for servers in asking:
            changes = reader.changes_since(servers.revision)
            if changes is not None:
                _apply(servers, changes)
    store.replace_server()
    reader.replace_all(store.read())
    return [reader.changes_since(one.revision) for one in others]


def main():
    """Print how many whole lists are sent, and their bytes."""
    sent = run()
    whole = [changes for changes in sent if not changes.since]
    size = sum(write_changes(changes).ByteSize() for changes in sent)
    print(
        f'{len(sent)} instances behind: {len(whole)} whole lists, '
        f'{size} bytes in all'
    )


if __name__ == '__main__':
    main()
