"""Choosing the server of a plain service's next request."""

import abc

from crankchute.core.forward_job import Placement, Repeat
from crankchute.core.outcomes import refuse_not_run
from crankchute.core.registry import Registry

#: Choosers by name: classes whose instances are made from ChooserParts.
choosers = Registry()
#: The name of the chooser of plain services.
LEAST_BUSY = 'least-busy'

#: The code of a refusal since no server wants a request of this instance now.
NOT_WANTED = 'servers_rest'
#: A server of a plain service is asked anew elsewhere after this many times
#: the time within which an answer has its full worth.
_SILENCE_FACTOR = 3
_LEAST_SILENCE_MS = 800
#: A server that fails every request counts as busy with so many more.
_FAILURE_LOAD = 5
#: What opening a connection counts, in requests: little, so that only servers
#: that are alike are told apart by it.
_CONNECT_LOAD = 0.5


class ChooserParts:
    """What choosers decide by.

    Attributes:
      pool: The PoolConfig.
      members: A function that returns the Backends of the pool that may get
        new requests.
      timers: A TimerService.
      random: A random.Random.
      board: The EngineBoard.
      news: A function of a Change and a Work, told of what this instance
        sends.
      new_ticket: A function that returns the id of a new ticket.
      data_centre: Where this instance runs.
      hints: The ReturnHints for callers that are refused.
      is_connected: A function of a Backend that tells whether a connection
        to it is open and rests.
      turns: The LimitTurns.
      heard_ms_ago: A function that returns how long ago another instance was
        last heard from, in milliseconds or None.
    """

    __slots__ = (
        'board',
        'data_centre',
        'heard_ms_ago',
        'hints',
        'is_connected',
        'members',
        'new_ticket',
        'news',
        'pool',
        'random',
        'timers',
        'turns',
    )

    def __init__(self, **fields):
        """Gather the parts.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class Chooser(abc.ABC):
    """Chooses servers for the requests of one pool."""

    def __init__(self, parts):
        """Create the chooser.

        Args:
          parts: ChooserParts.
        """
        self._parts = parts

    def now_ms(self):
        """Return the time on this process's clock."""
        return self._parts.timers.clock.now_ms()

    def usable(self, avoided, members=None):
        """Return the servers that may be asked now.

        Servers that failed lately are left alone while others are left.  Those
        that want rest, or take no more of this instance now, are left alone in
        any case: they have nothing to do, and would be chosen before all others.

        Args:
          avoided: Ids of servers that must not be asked.
          members: The Backends to look at, or None for all of the pool.
        Returns:
          A list of Backend.
        """
        if members is None:
            members = self._parts.members()
        now_ms = self.now_ms()
        has_turn = self._parts.turns.has_turn
        awake = [
            one
            for one in self._list_awake(members, avoided)
            if has_turn(one.identity)
        ]
        return [one for one in awake if one.breaker.allows(now_ms)] or awake

    def list_used_up(self, avoided):
        """Return the ids of servers that only lack a turn of this instance.

        Args:
          avoided: Ids of servers that must not be asked.
        Returns:
          A list.
        """
        has_turn = self._parts.turns.has_turn
        return [
            one.identity
            for one in self._list_awake(self._parts.members(), avoided)
            if not has_turn(one.identity)
        ]

    def choose_only(self, job, server):
        """Choose for a job that may be sent to one server only.

        Args:
          job: A ForwardJob.
          server: The server's id.
        Returns:
          A Placement, or a Refusal.
        """
        members = {one.identity for one in self._parts.members()}
        return self.choose(job, members - {server})

    def list_busy(self):
        """Return the ids of the servers that work for anybody, a set.

        What other instances sent is known of engines only.
        """
        board = self._parts.board
        return {
            one.identity
            for one in self._parts.members()
            if one.in_flight or (board and board.has_work(one.identity))
        }

    @abc.abstractmethod
    def choose(self, job, avoided):
        """Choose where a request runs.

        Args:
          job: A ForwardJob.
          avoided: Ids of servers that must not be asked.
        Returns:
          A Placement, or a Refusal.
        """

    @abc.abstractmethod
    def silent_until_ms(self, job, attempt):
        """Return until when a server may be silent, or None for ever.

        Args:
          job: A ForwardJob.
          attempt: The Attempt.
        """

    def overdue_at_ms(self, job, attempt):
        """Return when an attempt without any answer is a sign of a fault.

        Args:
          job: A ForwardJob.
          attempt: The Attempt.
        """
        return attempt.heard_ms + job.goal_ms

    def note_sent(self, job, placement):
        """Note that a job is about to be sent where it was placed."""

    def note_first(self, job, placement):
        """Note that a job led to its first event there."""

    def note_pace(self, placement, seen_ms):
        """Note how long the first event of a placement took."""

    def note_load(self, backend, load):
        """Note what a server told of its load.

        Args:
          backend: A Backend.
          load: A SeenLoad.
        """

    def note_report(self, backend, load):
        """Note what a server reported when it was asked; see note_load."""

    def note_end(self, job, placement):
        """Note that a job ended there."""

    def refuse(self):
        """Return the Refusal given when no server may be asked.

        Where all want rest, or take no more now, it is known when the first of
        them takes requests again.
        """
        first_ms = min(map(self._wait_ms, self._parts.members()), default=0)
        if first_ms > 0:
            return refuse_not_run(
                NOT_WANTED,
                'no backend server of the pool wants a request now',
                self._parts.hints.choose_after_ms(first_ms),
            )
        return refuse_not_run(
            'no_backend',
            'no backend server of the pool takes requests now',
        )

    def _list_awake(self, members, avoided):
        now_ms = self.now_ms()
        return [
            one
            for one in members
            if now_ms >= one.refused_until_ms and one.identity not in avoided
        ]

    def _wait_ms(self, backend):
        """Return after how long a server wants requests of this instance."""
        rest_ms = backend.refused_until_ms - self.now_ms()
        return max(rest_ms, self._parts.turns.wait_ms(backend.identity))


@choosers.register(LEAST_BUSY)
class LeastBusyChooser(Chooser):
    """Asks the server with the fewest requests of this instance."""

    def choose(self, job, avoided):
        """See Chooser."""
        members = self.usable(avoided)
        if not members:
            return self.refuse()
        self._parts.random.shuffle(members)
        return Placement(min(members, key=self._load))

    def silent_until_ms(self, job, attempt):
        """See Chooser; what may start once is waited for to the end."""
        if job.repeat != Repeat.AGAIN:
            return None
        allowed_ms = max(job.goal_ms * _SILENCE_FACTOR, _LEAST_SILENCE_MS)
        return attempt.heard_ms + allowed_ms

    def _load(self, backend):
        chance = backend.suspicion.chance(self.now_ms())
        load = backend.in_flight + chance * _FAILURE_LOAD
        if not self._parts.is_connected(backend):
            load += _CONNECT_LOAD
        return load


@choosers.register('random')
class RandomChooser(LeastBusyChooser):
    """Asks any server; a baseline."""

    def choose(self, job, avoided):
        """See Chooser."""
        members = self.usable(avoided)
        if not members:
            return self.refuse()
        return Placement(self._parts.random.choice(members))
