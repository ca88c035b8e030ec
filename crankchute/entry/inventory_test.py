"""Tests of the instance list."""

import orjson
import pytest

from crankchute.core.replica import ChangeSet, Entry
from crankchute.entry.inventory import Inventory

_GOOD = orjson.dumps(
    {
        'id': 'engine-0',
        'kind': 'engine',
        'address': '127.0.0.1:1',
        'data_centre': 'dc-1',
    }
)


@pytest.mark.parametrize(
    'bad',
    [
        b'not JSON',
        b'5',
        b'{}',
        _GOOD.replace(b'127.0.0.1:1', b'127.0.0.1'),
    ],
)
def test_bad_record_is_a_finding_and_loses_nothing(bad):
    """The other records are taken, and the bad one is named."""
    inventory = Inventory()
    entries = {'good': Entry(1, _GOOD), 'bad': Entry(1, bad)}
    assert inventory.offer(ChangeSet(0, 1, entries))
    assert [record.identity for record in inventory.records] == ['engine-0']
    assert [one.location for one in inventory.findings] == ['instances.bad']


def test_list_never_goes_back():
    """An older list is not taken."""
    inventory = Inventory()
    inventory.offer(ChangeSet(0, 2, {'good': Entry(2, _GOOD)}))
    assert not inventory.offer(ChangeSet(0, 1, {}))
    assert len(inventory.records) == 1
