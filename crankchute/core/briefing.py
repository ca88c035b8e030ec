"""What one instance tells another, as data."""


class WorkNews:
    """A change of a Work, as instances tell it."""

    __slots__ = ('change', 'work')

    def __init__(self, change, work):
        """Create the news.

        Args:
          change: A Change.
          work: A Work.
        """
        self.change = change
        self.work = work


class WorkBatch:
    """News of an instance's own work for one other instance.

    Attributes:
      number: Counts the batches told to that instance from 1; a batch
        without news repeats the number of the last one.
      is_whole: Whether the news are all work that the teller has, and
        replace what was told before, a bool.
      news: A list of WorkNews.
    """

    __slots__ = ('is_whole', 'news', 'number')

    def __init__(self, number, news, *, is_whole=False):
        """Create the batch.

        Args:
          number: An int.
          news: A list of WorkNews.
          is_whole: A bool.
        """
        self.number = number
        self.news = news
        self.is_whole = is_whole


class Impression:
    """What an instance thinks of a backend server by its own requests.

    Attributes:
      server: The server's id.
      signs: The Signs of its own requests.
    """

    __slots__ = ('server', 'signs')

    def __init__(self, server, signs):
        """Create the impression.

        Args:
          server: A string.
          signs: Signs.
        """
        self.server = server
        self.signs = signs


class Briefing:
    """What one instance tells another.

    Attributes:
      instance: The id of the teller.
      boot: The random id of its process.
      is_serving: Whether it may be handed out to callers.
      version: The version of its configuration, an int.
      proof_age_ms: How long ago that was proved the newest, or None.
      servers_revision: The revision of its list of backend servers, an int.
      servers_age_ms: How long ago that was proved the newest, or None.
      active: The Members it takes for active, or none where the other one
        named the same.
      digest: A number that tells apart lists of active instances.
      drained: Ids of backend servers that drain.
      gone: Ids of backend servers whose entries went lately.
      impressions: A list of Impression, of servers that seem unsound.
      limits: LimitWords, of servers that named limits lately, or ended them.
      wants_work: Whether it wants to be told of the other's work, a bool.
      lacks_work: Whether it missed some of that, a bool.
      batch: A WorkBatch.
      crash_digest: A number that tells apart what instances remember of
        crashes.
      crashes: CrashNews, or None where the other one remembers the same.
    """

    __slots__ = (
        'active',
        'batch',
        'boot',
        'crash_digest',
        'crashes',
        'digest',
        'drained',
        'gone',
        'impressions',
        'instance',
        'is_serving',
        'lacks_work',
        'limits',
        'proof_age_ms',
        'servers_age_ms',
        'servers_revision',
        'version',
        'wants_work',
    )

    def __init__(self, **fields):
        """Create the briefing.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])
