"""Tests of the replicated instance list."""

import orjson
import pytest

from crankchute.core.replica import ChangeSet, Entry
from crankchute.entry.inventory import Inventory

_VALID_RECORD = orjson.dumps(
    {
        'id': 'engine-0',
        'kind': 'engine',
        'address': '127.0.0.1:1',
        'data_centre': 'dc-1',
    }
)


@pytest.mark.parametrize(
    'invalid_record',
    [
        b'not JSON',
        b'5',
        b'{}',
        _VALID_RECORD.replace(b'127.0.0.1:1', b'127.0.0.1'),
    ],
)
def test_invalid_record_is_reported_and_others_are_kept(invalid_record):
    inventory = Inventory()
    entries = {'good': Entry(1, _VALID_RECORD), 'bad': Entry(1, invalid_record)}
    assert inventory.offer(ChangeSet(0, 1, entries))
    assert [record.identity for record in inventory.records] == ['engine-0']
    assert [finding.location for finding in inventory.findings] == [
        'instances.bad'
    ]


def test_older_list_is_rejected():
    inventory = Inventory()
    inventory.offer(ChangeSet(0, 2, {'good': Entry(2, _VALID_RECORD)}))
    assert not inventory.offer(ChangeSet(0, 1, {}))
    assert len(inventory.records) == 1
