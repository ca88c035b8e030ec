"""Disturbances of a soak."""

import asyncio
import signal

from bench.soak.fleet import GRACE_S, now_s
from bench.soak.plan import disturbance

#: How long the store keeps the entry of a server that crashed.
_EXPIRY_S = 3
_ANNOUNCED_S = 2
_SERVES_ON_S = 12
_SILENCE_S = (0.8, 1.4)
_SHORT_S = (0.3, 1.5)
#: Later than on the platform, so that a busy machine alone cuts no request.
_KILL_S = GRACE_S + 4
_POLL_S = 0.02
#: More than the memory of an instance holds of long requests.
_BURST = 120
_BURST_PATHS = ('/again/', '/once/')
_STREAM_PATH = '/stream/'
_LATE_STREAMS = 8
#: When they are sent after the signal, three times the time to live of an address.
_LATE_S = (2.95, 3.15)
_CONNECT_S = 0.2


@disturbance(4)
async def change_config(plan):
    """Change the configuration in one way."""
    how = plan.config.change()
    plan.fleet.publish(plan.config.document)
    plan.note('config', how=how, version=plan.config.document['version'])


@disturbance(5)
async def silence(plan):
    """Let servers of a pool fall silent for about a second."""
    servers = plan.choose_servers()
    seconds = plan.random.uniform(*_SILENCE_S)
    plan.note('silence', servers=servers, seconds=seconds)
    for identity in servers:
        plan.fleet.tell_server(identity, 'fall_silent', seconds=seconds)


@disturbance(2)
async def freeze_servers(plan):
    """Stop a process of servers for about a second."""
    host = plan.random.choice(plan.fleet.hosts)
    seconds = plan.random.uniform(*_SILENCE_S)
    plan.note('freeze_servers', seconds=seconds)
    host.popen.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    host.popen.send_signal(signal.SIGCONT)


@disturbance(3)
async def fill(plan):
    """Let servers of a pool reject all requests for a moment."""
    for identity in plan.choose_servers():
        seconds = plan.random.uniform(*_SHORT_S)
        plan.fleet.tell_server(identity, 'fill', seconds=seconds)


@disturbance(1)
async def send_burst(plan):
    """Let many clients send long requests to an instance at once."""
    instance = plan.choose_instance()
    if instance is None:
        return
    plan.note('burst', target=instance.name, requests=_BURST)
    clients = [plan.make_client() for _ in range(_BURST)]
    path = plan.random.choice(_BURST_PATHS)
    await asyncio.gather(
        *(client.send_long(instance, path) for client in clients)
    )


@disturbance(5)
async def stop_instance(plan):
    """Stop an instance and start it again."""
    instance = plan.choose_instance()
    if instance is None:
        return
    # No other disturbance may choose it while connections are opened.
    instance.stopped_at = now_s()
    late = [
        asyncio.create_task(_send_late(plan, instance))
        for _ in range(_LATE_STREAMS)
    ]
    await asyncio.sleep(_CONNECT_S)
    instance.stopped_at = now_s()
    plan.note('term', instance=instance.name)
    instance.send(signal.SIGTERM)
    while instance.is_running and now_s() < instance.stopped_at + _KILL_S:
        await asyncio.sleep(_POLL_S)
    if instance.is_running:
        plan.note('killed_at_grace', instance=instance.name)
        instance.send(signal.SIGKILL)
    await asyncio.gather(*late)
    await _start_again(plan, instance)


async def _send_late(plan, instance):
    """Send a stream about when callers know that an instance stops."""
    delay_s = _CONNECT_S + plan.random.uniform(*_LATE_S)
    await plan.make_client().send_late(instance, _STREAM_PATH, delay_s)


@disturbance(1)
async def kill_instance(plan):
    """Kill an instance and start it again."""
    instance = plan.choose_instance()
    if instance is None:
        return
    instance.stopped_at = now_s()
    plan.note('kill', instance=instance.name)
    instance.send(signal.SIGKILL)
    await _start_again(plan, instance)


async def _start_again(plan, instance):
    code = instance.popen.wait()
    plan.note('ended', instance=instance.name, code=code)
    await asyncio.sleep(plan.random.uniform(*_SHORT_S))
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
    seconds = plan.random.uniform(*_SHORT_S)
    plan.note('freeze', instance=instance.name, seconds=seconds)
    instance.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    instance.send(signal.SIGCONT)


@disturbance(2)
async def leave(plan):
    """Let a server leave, with or without an announcement."""
    fleet = plan.fleet
    identity = plan.random.choice(list(fleet.servers))
    plan.note('leave', server=identity)
    fleet.tell_server(identity, 'leave')
    entry = fleet.replace_server(identity)
    if plan.random.choice((True, False)):
        fleet.list_server(identity, {**entry, 'state': 'draining'})
        await asyncio.sleep(_ANNOUNCED_S)
    fleet.list_server(identity, None)
    await asyncio.sleep(_SERVES_ON_S)
    fleet.tell_server(identity, 'crash')


@disturbance(1)
async def crash(plan):
    """Crash a server; another incarnation starts."""
    fleet = plan.fleet
    identity = plan.random.choice(list(fleet.servers))
    plan.note('crash', server=identity)
    fleet.tell_server(identity, 'crash')
    fleet.replace_server(identity)
    await asyncio.sleep(_EXPIRY_S)
    fleet.list_server(identity, None)
