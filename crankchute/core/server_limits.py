"""How many requests backend servers take, as their answers say.

A server in need names in its answers how many requests a second it takes from
all instances together.  It goes on until an answer without that, so what it
says is kept beyond the answer that it came with: by the server's start, whatever
becomes of its entry, and at all instances, who share the limit.

Answers cross.  One that loosens a limit counts only if its request was sent after
the limit had been heard of, since a server that is overrun by mistake fails
everybody; one that tightens it counts at once.
"""

from heapq import nlargest
from operator import attrgetter

#: Others are told again of a limit that is still named, at most this often.
_RETELL_MS = 1000
#: How long others are told of a word after it was said.
_TELL_MS = 5000
#: How many words go with one message, the newest, so that its size is bounded.
_MOST_TOLD = 64
#: For how long what others are told is gathered once.
_GATHERED_MS = 50
#: Messages between instances may be on their way for this long.
_WAY_MS = 400
#: How long the word of a server that nobody hears any more is kept.
_REMEMBER_MS = 600_000


class LimitWord:
    """What a server said of its limit.

    Attributes:
      server: The server's id.
      limit: How many requests a second it takes, a float, or None if it names
        no limit any more.
      at_ms: When the answer that says so came, on this process's clock.
      made_ms: When the first answer that says so came, or was told of.
      tell_until_ms: Until when others are told again that there is no limit.
      source: What tells this word apart from all others, at all instances.
    """

    __slots__ = (
        'at_ms',
        'limit',
        'made_ms',
        'server',
        'source',
        'tell_until_ms',
    )

    def __init__(self, server, limit, at_ms, source):
        """Create the word.

        Args:
          server: See the class.
          limit: See the class.
          at_ms: See the class.
          source: See the class.
        """
        self.server = server
        self.limit = limit
        self.at_ms = at_ms
        self.made_ms = at_ms
        self.tell_until_ms = at_ms + _TELL_MS
        self.source = source

    def loosens(self, other):
        """Tell whether this allows more than another word does.

        Args:
          other: A LimitWord.
        """
        if self.limit is None:
            return other.limit is not None
        return other.limit is not None and self.limit > other.limit


class ServerLimits:
    """The newest words of servers about their limits."""

    def __init__(self, clock, instance):
        """Create without a word.

        Args:
          clock: A Clock.
          instance: What tells this process apart from all others, a string.
        """
        self._clock = clock
        self._instance = instance
        self._words = {}
        self._made = 0
        self._told = ()
        self._told_ms = float('-inf')
        self._listeners = []

    def subscribe(self, callback):
        """Be told when the other instances should be told of a new word.

        Args:
          callback: A function without arguments.
        """
        self._listeners.append(callback)

    def limit_of(self, server):
        """Return the requests a second that a server takes, or None.

        Args:
          server: The server's id.
        """
        word = self._words.get(server)
        return None if word is None else word.limit

    def list_limited(self):
        """Return the words of all servers that name a limit, a list."""
        return [one for one in self._words.values() if one.limit is not None]

    def take(self, server, limit, sent_ms):
        """Take what an answer of a server to this instance says.

        Args:
          server: The server's id.
          limit: The requests a second that it names, or None if it names none.
          sent_ms: When what it answers was sent, on this process's clock.
        """
        known = self._words.get(server)
        if known is None:
            if limit is not None:
                self._say(server, limit)
            return
        now_ms = self._clock.now_ms()
        word = LimitWord(server, limit, now_ms, known.source)
        if word.loosens(known) and sent_ms < known.at_ms:
            return
        if limit == known.limit:
            self._go_on(known, now_ms)
        else:
            self._say(server, limit)

    def hear(self, words):
        """Take words that another instance heard, or was told of.

        Args:
          words: LimitWords.
        """
        for word in words:
            known = self._words.get(word.server)
            if known is None or self._is_newer(word, known):
                self._words[word.server] = word

    def tell(self):
        """Return the LimitWords that other instances should be told of."""
        now_ms = self._clock.now_ms()
        if self._words and now_ms - self._told_ms > _GATHERED_MS:
            self._told_ms = now_ms
            self._told = nlargest(
                _MOST_TOLD,
                self._list_recent(now_ms),
                key=attrgetter('at_ms'),
            )
        return self._told

    def _list_recent(self, now_ms):
        return [
            word
            for word in self._words.values()
            if now_ms - word.at_ms < _TELL_MS
        ]

    def _is_newer(self, word, known):
        """Tell whether a word that was told replaces the known one.

        How long it was on its way is not known, so one that loosens a limit
        has to be newer for sure.
        """
        if word.source == known.source:
            return False
        margin_ms = _WAY_MS if word.loosens(known) else 0
        return word.at_ms > known.at_ms + margin_ms

    def _say(self, server, limit):
        self._forget_old()
        self._words[server] = self._make_word(server, limit)
        self._told_ms = float('-inf')
        for callback in self._listeners:
            callback()

    def _go_on(self, known, now_ms):
        """Note that a server says of its limit again what it said before.

        Also that it names none is told again: the first word of that may be too
        close to the last one with a limit to be newer for sure.
        """
        if now_ms - known.made_ms < _RETELL_MS:
            known.at_ms = now_ms
        elif known.limit is not None or now_ms < known.tell_until_ms:
            # It goes with the next message; nobody has to hear it sooner.
            word = self._make_word(known.server, known.limit)
            word.tell_until_ms = known.tell_until_ms
            self._words[known.server] = word

    def _make_word(self, server, limit):
        self._made += 1
        source = f'{self._instance}-{self._made}'
        return LimitWord(server, limit, self._clock.now_ms(), source)

    def _forget_old(self):
        now_ms = self._clock.now_ms()
        self._words = {
            server: word
            for server, word in self._words.items()
            if now_ms - word.at_ms < _REMEMBER_MS
        }
