"""Seeded disturbances of a run, in series and overlapping."""

import asyncio
import signal

from bench.soak.fleet import GRACE_S, now_s

_HEARTBEATS_S = 3
_WORK_AFTER_LEAVE_S = 12
#: Disturbances by name: (weight, function).
DISTURBANCES = {}  # noqa: WPS407  (filled by the decorator)


def disturbance(weight):
    """Register a disturbance, a coroutine function of a Plan.

    Args:
      weight: How often it is chosen, relative to the others.
    """

    def register(function):
        DISTURBANCES[function.__name__] = (weight, function)
        return function

    return register


class Config:
    """The configuration and its changes.

    Attributes:
      document: The newest configuration.
      shortest_timeout_ms: The shortest of all route timeouts so far.
      extra: The paths of added routes.
    """

    def __init__(self):
        """Create the first configuration."""
        engine = {
            'slots': 12,
            'kv-capacity-tokens': 200_000,
            'stride': 1,
            'step_ms': 40,
            'per_seq_ms': 0.4,
            'read_per_s': 20_000,
            'chunk': 2048,
            'report_lag_ms': 100,
            'usual': {'prompt': 800, 'answer': 60},
        }
        self.extra = []
        self.idle_history = [(0, 4000)]
        self.document = {
            'version': 1,
            'routes': [
                _route('/again/', 'idempotent', 'plain', 3),
                _route('/once/', 'non_idempotent', 'plain', 1),
                _route('/once-two/', 'non_idempotent', 'spare', 2),
                _route('/stream/', 'streaming', 'engines', 1),
                _route('/stream-two/', 'streaming', 'engines', 2),
                _route('/resume/', 'streaming', 'engines', 3, resume=True),
            ],
            'services': [
                {'name': 'plain', 'health-path': '/healthz'},
                {'name': 'spare', 'health-path': '/healthz'},
                {
                    'name': 'engines',
                    'health-path': '/healthz',
                    'engine': engine,
                },
            ],
            'limits': {
                'max-header-bytes': 16_384,
                'max-body-bytes': 1_048_576,
                'header-timeout-ms': 5000,
                'idle-timeout-ms': 4000,
            },
        }
        self.shortest_timeout_ms = 9000

    def change(self, random, how):
        """Change the configuration in one way, `idle`, `timeout` or `route`."""
        self.document['version'] += random.randint(1, 9)
        routes = self.document['routes']
        if how == 'idle':
            idle_ms = random.choice((1500, 3000, 4000, 8000))
            self.document['limits']['idle-timeout-ms'] = idle_ms
            self.idle_history.append((now_s(), idle_ms))
        elif how == 'timeout':
            timeout_ms = random.choice((6000, 9000, 12_000))
            random.choice(routes)['timeout-ms'] = timeout_ms
            self.shortest_timeout_ms = min(self.shortest_timeout_ms, timeout_ms)
        elif how == 'move':
            route = random.choice(routes[:3])
            route['service'] = random.choice(('plain', 'spare'))
        elif self.extra and random.random() < 0.5:
            path = self.extra.pop(0)
            routes[:] = [one for one in routes if one['path-prefix'] != path]
        else:
            path = f'/extra-{self.document["version"]}/'
            routes.append(_route(path, 'non_idempotent', 'plain', 1))
            self.extra.append(path)

    def idle_s(self):
        """Return the shortest idle time that may be in force, in seconds."""
        recent = [idle for at, idle in self.idle_history if at > now_s() - 4]
        before = [idle for at, idle in self.idle_history if at <= now_s() - 4]
        return min(recent + before[-1:]) / 1000


def _route(path, kind, service, attempts, *, resume=False):
    return {
        'host': 'a.example',
        'path-prefix': path,
        'kind': kind,
        'service': service,
        'timeout-ms': 9000,
        'target-latency-ms': 1000,
        'max-attempts': attempts,
        'stream-resume': resume,
        'priority': 1,
    }


class Plan:
    """Disturbs a fleet; `log` has what it did.

    Attributes:
      log: Maps with `t`, `event` and details.
    """

    def __init__(self, fleet, config, random, without=()):
        """Create the plan.

        Args:
          fleet: The Fleet.
          config: The Config.
          random: The random.Random of the run.
        """
        self.fleet = fleet
        self.config = config
        self.random = random
        self.log = []
        self._tasks = []
        self._kinds = [
            kind for name, kind in DISTURBANCES.items() if name not in without
        ]

    def note(self, event, **details):
        """Add an event to the log."""
        self.log.append({'t': now_s(), 'event': event, **details})

    async def run(self, seconds, pause_s):
        """Begin disturbances for some seconds, then wait for their ends."""
        weights, functions = zip(*self._kinds, strict=True)
        end = now_s() + seconds
        while now_s() < end:
            await asyncio.sleep(self.random.uniform(0.1, 2 * pause_s))
            chosen = self.random.choices(functions, weights)[0]
            self._tasks.append(asyncio.create_task(chosen(self)))
        await asyncio.gather(*self._tasks)

    def choose_servers(self):
        """Return the ids of one server, most or all of a pool."""
        pool = self.random.choice(('plain', 'spare', 'engines'))
        servers = [
            identity
            for identity, entry in self.fleet.servers.items()
            if entry['service'] == pool
        ]
        share = self.random.choice((0, 0.6, 1))
        count = max(1, round(share * len(servers)))
        return self.random.sample(servers, min(count, len(servers)))

    def choose_instance(self):
        """Return an instance that serves while others do, or None."""
        serving = [
            one
            for one in self.fleet.instances
            if one.is_running and one.stopped_at is None
        ]
        if len(serving) <= max(2, len(self.fleet.instances) // 2):
            return None
        return self.random.choice(serving)


@disturbance(4)
async def change_config(plan):
    """Change the configuration in one way."""
    how = plan.random.choice(('idle', 'timeout', 'move', 'route'))
    plan.config.change(plan.random, how)
    plan.fleet.publish(plan.config.document)
    plan.note('config', how=how, version=plan.config.document['version'])


@disturbance(5)
async def silence(plan):
    """Let some servers of a pool fall silent for about a second."""
    servers = plan.choose_servers()
    seconds = plan.random.uniform(0.8, 1.4)
    plan.note('silence', servers=servers, seconds=seconds)
    for identity in servers:
        plan.fleet.host_of[identity].tell(
            'silence', servers=[identity], seconds=seconds
        )


@disturbance(2)
async def freeze_servers(plan):
    """Stop the process of some servers for about a second."""
    host = plan.random.choice(plan.fleet.hosts)
    seconds = plan.random.uniform(0.8, 1.4)
    plan.note('freeze_servers', seconds=seconds)
    host.popen.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    host.popen.send_signal(signal.SIGCONT)


@disturbance(3)
async def fill(plan):
    """Let some servers of a pool reject all requests."""
    for identity in plan.choose_servers():
        seconds = plan.random.uniform(0.3, 1.5)
        plan.fleet.host_of[identity].tell(
            'fill', servers=[identity], seconds=seconds
        )


@disturbance(5)
async def stop_instance(plan):
    """Stop an instance and start it again."""
    instance = plan.choose_instance()
    if instance is None:
        return
    instance.stopped_at = now_s()
    plan.note('term', instance=instance.name)
    instance.send(signal.SIGTERM)
    while instance.is_running and now_s() < instance.stopped_at + GRACE_S:
        await asyncio.sleep(0.02)
    if instance.is_running:
        plan.note('killed_at_grace', instance=instance.name)
        instance.send(signal.SIGKILL)
        instance.popen.wait()
    plan.note('ended', instance=instance.name, code=instance.popen.returncode)
    await _start_again(plan, instance)


@disturbance(1)
async def kill_instance(plan):
    """Kill an instance and start it again."""
    instance = plan.choose_instance()
    if instance is None:
        return
    instance.stopped_at = now_s()
    plan.note('kill', instance=instance.name)
    instance.send(signal.SIGKILL)
    instance.popen.wait()
    await _start_again(plan, instance)


async def _start_again(plan, instance):
    await asyncio.sleep(plan.random.uniform(0.2, 1.5))
    instance.start()
    plan.note('start', instance=instance.name)


@disturbance(2)
async def reload_instance(plan):
    """Write the settings of an instance anew and tell it so."""
    instance = plan.random.choice(plan.fleet.instances)
    plan.fleet.write_settings(instance)
    if await instance.is_ready():
        plan.note('hup', instance=instance.name)
        instance.send(signal.SIGHUP)


@disturbance(1)
async def freeze_instance(plan):
    """Stop the process of an instance for a moment."""
    instance = plan.choose_instance()
    if instance is None:
        return
    seconds = plan.random.uniform(0.3, 1.5)
    plan.note('freeze', instance=instance.name, seconds=seconds)
    instance.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    instance.send(signal.SIGCONT)


@disturbance(2)
async def leave(plan):
    """Let a server leave, with or without an announcement."""
    fleet = plan.fleet
    identity = plan.random.choice(list(fleet.servers))
    pool = fleet.servers[identity]['service']
    plan.note('leave', server=identity)
    fleet.host_of[identity].tell('leave', server=identity)
    entry = fleet.servers.pop(identity)
    fleet.start_server(pool)
    if plan.random.random() < 0.6:
        document = {**entry, 'state': 'draining'}
        fleet.store.tell('put', key=f'servers/{identity}', document=document)
        await asyncio.sleep(2)
    fleet.list_server(identity)
    await asyncio.sleep(_WORK_AFTER_LEAVE_S)
    fleet.host_of[identity].tell('crash', server=identity)


@disturbance(1)
async def crash(plan):
    """Crash a server; a new incarnation starts."""
    fleet = plan.fleet
    identity = plan.random.choice(list(fleet.servers))
    pool = fleet.servers.pop(identity)['service']
    plan.note('crash', server=identity)
    fleet.host_of[identity].tell('crash', server=identity)
    await asyncio.sleep(plan.random.uniform(0.3, 1.5))
    fleet.start_server(pool)
    await asyncio.sleep(_HEARTBEATS_S)
    fleet.list_server(identity)


@disturbance(1)
async def cut_store(plan):
    """Cut the connections to the store."""
    plan.note('cut_store')
    plan.fleet.store.tell('cut')
