"""A seeded plan of disturbances, in series and overlapping."""

import asyncio
from random import Random

from bench.soak.clients import Client
from bench.soak.config import POOLS
from bench.soak.fleet import now_s

#: Disturbances by name, pairs of weight and function.
DISTURBANCES = {}  # noqa: WPS407  (filled by the decorator)
_SOME_SHARES = (0, 0.6, 1)
#: For how many times their time to live clients use addresses; None is until
#: the process is gone.
_TTL_FACTORS = (1, 1, 3, None, None, None)
_SEED_BITS = 32


def disturbance(weight):
    """Register a disturbance, a coroutine function that takes a Plan.

    Args:
      weight: How often it is chosen, relative to the others.
    Returns:
      The decorator.
    """

    def register(function):
        DISTURBANCES[function.__name__] = (weight, function)
        return function

    return register


class Plan:
    """Disturbs a fleet.

    Attributes:
      fleet: The Fleet.
      config: The Config.
      random: The random.Random of the run.
      clients: The Clients that it made.
      log: What was done, a list of maps with `t`, `event` and details.
    """

    def __init__(self, fleet, config, random, without=()):
        """Create the plan.

        Args:
          fleet: See the class.
          config: See the class.
          random: See the class.
          without: The names of disturbances to leave out.
        """
        self.fleet = fleet
        self.config = config
        self.random = random
        self.clients = []
        self.log = []
        self._kinds = [
            kind for name, kind in DISTURBANCES.items() if name not in without
        ]

    def make_client(self):
        """Return a new Client."""
        own_random = Random(self.random.getrandbits(_SEED_BITS))
        ttl_factor = self.random.choice(_TTL_FACTORS)
        client = Client(self.fleet, self.config, own_random, ttl_factor)
        self.clients.append(client)
        return client

    def note(self, event, **details):
        """Add an event to the log.

        Args:
          event: Its name.
          details: Values to log with it.
        """
        self.log.append({'t': now_s(), 'event': event, **details})

    async def run(self, seconds, pause_s):
        """Begin disturbances for some seconds, then wait for their ends.

        Args:
          seconds: For how long.
          pause_s: The mean pause between two beginnings, in seconds.
        """
        weights, functions = zip(*self._kinds, strict=True)
        tasks = []
        end = now_s() + seconds
        while now_s() < end:
            await asyncio.sleep(self.random.uniform(0, 2 * pause_s))
            chosen = self.random.choices(functions, weights)[0]
            tasks.append(asyncio.create_task(chosen(self)))
        await asyncio.gather(*tasks)

    def choose_servers(self):
        """Return the ids of one server of a pool, of most or of all."""
        pool = self.random.choice(POOLS)
        servers = self.fleet.list_pool(pool)
        share = self.random.choice(_SOME_SHARES)
        count = max(1, round(share * len(servers)))
        return self.random.sample(servers, min(count, len(servers)))

    def choose_instance(self):
        """Return an instance to disturb, or None while too few are left."""
        serving = [one for one in self.fleet.instances if one.is_serving]
        if len(serving) <= max(2, len(self.fleet.instances) // 2):
            return None
        return self.random.choice(serving)
