"""Tests of what an instance that starts gets from the others."""

import pytest

from crankchute.core.forward_config import ForwardConfig, ForwardConfigHolder
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_list import ServerList
from crankchute.entry.forward_peers import ConfigExchange, ServersExchange


def make_list(*revisions):
    servers = ServerList()
    if revisions:
        entries = {f's{one}': Entry(one, b'{}') for one in revisions}
        servers.replace_all(entries, max(revisions))
    return servers


def make_exchange(servers, taken):
    def take(changes):
        taken.append(changes)
        servers.apply_changes(changes)
        return True

    return ServersExchange(servers, take)


@pytest.mark.parametrize('known', [(), (1,), (1, 2)])
def test_instance_without_the_store_gets_the_servers(known):
    taken = []
    teller = make_exchange(make_list(1, 2, 4), [])
    servers = make_list(*known)
    learner = make_exchange(servers, taken)
    changes = teller.list_missing_changes(
        learner.revision, learner.seen_revision
    )
    assert learner.offer(changes)
    assert set(taken[0].entries) == {'s1', 's2', 's4'}
    assert servers.revision == 4


def test_only_what_changed_since_is_handed_over():
    servers = make_list(1, 2)
    servers.apply_changes(
        ChangeSet(2, 5, {'s1': Entry(4, None), 's9': Entry(5, b'{}')})
    )
    changes = make_exchange(servers, []).list_missing_changes(2, 2)
    assert changes.since == 2
    assert set(changes.entries) == {'s1', 's9'}


@pytest.mark.parametrize(
    ('teller', 'learner'),
    [((), ()), ((3,), (3,)), ((), (3,)), ((3,), (3, 4))],
)
def test_nothing_is_handed_over_without_need(teller, learner):
    told = make_exchange(make_list(*teller), [])
    own = make_exchange(make_list(*learner), [])
    assert told.list_missing_changes(own.revision, own.seen_revision) is None


@pytest.mark.parametrize(
    ('theirs', 'mine', 'rises'), [(7, 3, True), (3, 7, False)]
)
def test_newer_configuration_is_taken(theirs, mine, rises):
    taken = []
    teller = ForwardConfigHolder()
    teller.offer(ForwardConfig(theirs, [], []), b'theirs')
    learner = ForwardConfigHolder()
    learner.offer(ForwardConfig(mine, [], []), b'mine')

    def take(payload):
        taken.append(payload)
        learner.offer(ForwardConfig(theirs, [], []), payload)

    own = ConfigExchange(learner, take)
    changes = ConfigExchange(teller, None).list_missing_changes(own.revision, 0)
    assert (changes is not None) == rises
    if rises:
        assert own.offer(changes)
        assert taken == [b'theirs']
    assert learner.version == max(theirs, mine)
