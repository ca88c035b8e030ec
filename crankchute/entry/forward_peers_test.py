"""Tests of what an instance that starts gets from the others."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.fleet import LEAVING, LIVE, Listed
from crankchute.core.forward_config import ForwardConfig, ForwardConfigHolder
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.entry.forward_peers import ConfigExchange, ServersExchange


def make_fleet(states=()):
    fleet = ForwardFleet(ManualTimers(), 'pool')
    for number, state in enumerate(states):
        fleet.put(
            Listed(
                {
                    'id': f's{number}',
                    'kind': 'backend',
                    'address': f'127.0.0.1:{7000 + number}',
                    'data_centre': 'one',
                    'labels': {'pool': 'p'},
                    'state': state,
                }
            )
        )
    return fleet


def test_instance_without_the_store_gets_the_servers():
    listed = []
    teller = ServersExchange(make_fleet([LIVE, LEAVING, LIVE]), None)
    fleet = make_fleet()
    learner = ServersExchange(fleet, lambda: listed.append(1))
    changes = teller.changes_for(learner.revision, learner.seen_revision)
    assert learner.offer(changes)
    assert listed == [1]
    members = {one.identity for one in fleet.members_of('p')}
    assert members == {'s0', 's2'}


@pytest.mark.parametrize(
    ('teller', 'learner'),
    [([], []), ([LIVE], [LIVE]), ([], [LIVE])],
)
def test_nothing_is_handed_over_without_need(teller, learner):
    told = ServersExchange(make_fleet(teller), None)
    own = ServersExchange(make_fleet(learner), None)
    assert told.changes_for(own.revision, own.seen_revision) is None


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
    changes = ConfigExchange(teller, None).changes_for(own.revision, 0)
    assert (changes is not None) == rises
    if rises:
        assert own.offer(changes)
        assert taken == [b'theirs']
    assert learner.version == max(theirs, mine)
