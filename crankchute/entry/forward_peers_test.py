"""Tests of the replication of configuration and servers between instances."""

import pytest

from crankchute.core.forward_config import ForwardConfig, ForwardConfigHolder
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_list import ServerList
from crankchute.entry.forward_peers import ConfigStore, ServerStore


def make_servers(*revisions):
    servers = ServerList()
    if revisions:
        entries = {
            f's{revision}': Entry(revision, b'{}') for revision in revisions
        }
        servers.replace_all(ChangeSet(0, max(revisions), entries))
    return servers


def make_store(servers, applied):
    def apply(changes):
        applied.append(changes)
        servers.apply_changes(changes)
        return True

    return ServerStore(servers, apply)


@pytest.mark.parametrize('known', [(), (1,), (1, 2)])
def test_outdated_instance_receives_the_servers(known):
    applied = []
    sender = make_store(make_servers(1, 2, 4), [])
    servers = make_servers(*known)
    receiver = make_store(servers, applied)
    changes = sender.list_missing_changes(
        receiver.revision, receiver.seen_revision
    )
    assert receiver.offer(changes)
    assert set(applied[0].entries) == {'s1', 's2', 's4'}
    assert servers.revision == 4


def test_only_later_changes_are_sent():
    servers = make_servers(1, 2)
    servers.apply_changes(
        ChangeSet(2, 5, {'s1': Entry(4, None), 's9': Entry(5, b'{}')})
    )
    changes = make_store(servers, []).list_missing_changes(2, 2)
    assert changes.since == 2
    assert set(changes.entries) == {'s1', 's9'}


@pytest.mark.parametrize(
    ('sender', 'receiver'),
    [((), ()), ((3,), (3,)), ((), (3,)), ((3,), (3, 4))],
)
def test_nothing_is_sent_to_an_instance_that_is_up_to_date(sender, receiver):
    sender_store = make_store(make_servers(*sender), [])
    receiver_store = make_store(make_servers(*receiver), [])
    assert (
        sender_store.list_missing_changes(
            receiver_store.revision, receiver_store.seen_revision
        )
        is None
    )


@pytest.mark.parametrize(
    ('sent', 'known', 'is_newer'), [(7, 3, True), (3, 7, False)]
)
def test_only_newer_configuration_is_applied(sent, known, is_newer):
    applied = []
    sender = ForwardConfigHolder()
    sender.offer(ForwardConfig(sent, [], []), b'theirs')
    receiver = ForwardConfigHolder()
    receiver.offer(ForwardConfig(known, [], []), b'mine')

    def apply(payload):
        applied.append(payload)
        receiver.offer(ForwardConfig(sent, [], []), payload)

    receiver_store = ConfigStore(receiver, apply)
    changes = ConfigStore(sender, None).list_missing_changes(
        receiver_store.revision, 0
    )
    assert (changes is not None) == is_newer
    if is_newer:
        assert receiver_store.offer(changes)
        assert applied == [b'theirs']
    assert receiver.version == max(sent, known)
