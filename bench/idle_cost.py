"""Benchmark of the CPU time of an idle instance, by the size of its fleet.

Runs one instance in a separate process.  This process simulates the store and
all other instances, each with a gRPC server on loopback: they respond like the
members of an idle fleet and probe the instance as often as such a fleet does.
Prints CPU milliseconds and messages per second:

    python -m bench.idle_cost [--sizes 30,195,780] [--seconds 10]
"""

import argparse
import os
import random
import subprocess  # noqa: S404  (starts the instance that is measured)
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from http.server import ThreadingHTTPServer
from pathlib import Path
from threading import Thread

import grpc

from crankchute.core.active_choice import Ranking, count_active, hash_members
from crankchute.core.membership import Member
from crankchute.adapters.peer_records import write_member
from crankchute.platform.standin_store import REVISION, StoreStandin
from crankchute.proto import peer_pb2, peer_pb2_grpc
from crankchute.standins.ports import LOOPBACK, pick_ports

_STARTUP_S = 2
_WARMUP_S = 8
_ACTIVE_STRENGTH = 2000
_DEFAULT_STRENGTH = 500
_GOSSIPED_MEMBERS = 12
_DATA_AGE_MS = 500
_MS_PER_SECOND = 1000
_SETTINGS = """
node-name = "measured"
zone = "z0"
internal-port-range = [7340, 7355]
seeds = ["{seed}"]
[listen]
frontend = "{frontend}"
readiness = "{readiness}"
control = "{control}"
directory = "{directory}"
[limits]
cpu-share = 0.5
cpu-cores = 1
[platform]
address = "{store}"
"""


class FakeFleet:
    """The other members of the measured instance's fleet.

    Attributes:
      members: The Members, a list.
      active: The active ones.
      messages_received: The number of messages from the measured instance.
    """

    def __init__(self, size):
        """Create a fleet.

        Args:
          size: The number of instances, including the measured one.
        """
        ports = pick_ports(size - 1)
        active_count = count_active(size)
        self.members = [
            Member(
                f'entry-{index}',
                'boot',
                1,
                peer_address=f'{LOOPBACK}:{port}',
                http_address=f'{LOOPBACK}:1',
                data_centre=f'z{index % 5}',
                strength=_ACTIVE_STRENGTH
                if index < active_count
                else _DEFAULT_STRENGTH,
            )
            for index, port in enumerate(ports)
        ]
        ranking = Ranking(self.members)
        self.active = ranking.choose(active_count, lambda _one: True)
        self.messages_received = 0

    def gossip(self, member):
        """Return the gossip that a member attaches to each message."""
        sample = random.sample(
            self.members, min(_GOSSIPED_MEMBERS, len(self.members))
        )
        return peer_pb2.Gossip(
            members=[write_member(gossiped) for gossiped in (member, *sample)],
        )


class PeerStandin(peer_pb2_grpc.PeerServicer):
    """The gRPC service of a member of the fleet."""

    def __init__(self, fleet, member):
        """Create the service.

        Args:
          fleet: The FakeFleet.
          member: Its Member.
        """
        self._fleet = fleet
        self._member = member

    def Probe(self, request, context):  # noqa: N802  (named by the protocol)
        """Reply to a probe."""
        self._fleet.messages_received += 1
        gossip = self._fleet.gossip(self._member)
        return peer_pb2.ProbeReply(gossip=gossip, reached=True)

    def Share(self, request, context):  # noqa: N802  (named by the protocol)
        """Reply like an active instance."""
        self._fleet.messages_received += 1
        active = self._fleet.active
        digest = hash_members(active)
        members = () if request.digest == digest else active
        return peer_pb2.Briefing(
            instance=self._member.identity,
            boot='boot',
            is_serving=True,
            version=1,
            proof_age_ms=_DATA_AGE_MS,
            digest=digest,
            active=[write_member(active_member) for active_member in members],
            servers_revision=REVISION,
            servers_age_ms=_DATA_AGE_MS,
        )


def _start_peers(fleet):
    servers = []
    for member in fleet.members:
        server = grpc.server(ThreadPoolExecutor(max_workers=1))
        peer_pb2_grpc.add_PeerServicer_to_server(
            PeerStandin(fleet, member),
            server,
        )
        server.add_insecure_port(member.peer_address)
        server.start()
        servers.append(server)
    return servers


def _start_instance(fleet, store_port, folder):
    ports = [f'{LOOPBACK}:{port}' for port in pick_ports(5)]
    text = _SETTINGS.format(
        seed=fleet.members[0].peer_address,
        store=f'{LOOPBACK}:{store_port}',
        frontend=ports[0],
        readiness=ports[1],
        control=ports[2],
        directory=ports[3],
    )
    path = Path(folder) / 'settings.toml'
    path.write_text(text)
    metrics_port = ports[4].rpartition(':')[2]
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'crankchute.platform',
            '--metrics-port',
            metrics_port,
        ],
        env={**os.environ, 'CRANKCHUTE_CONFIG': str(path)},
        stdout=subprocess.DEVNULL,
    )
    return process, ports[2]


def _send_probes(fleet, address, seconds):
    """Probe the instance once per second.

    The rate of probes does not depend on the fleet's size.
    """
    for _ in range(seconds):
        member = random.choice(fleet.members)
        channel = grpc.insecure_channel(address)
        request = peer_pb2.ProbeRequest(gossip=fleet.gossip(member))
        peer_pb2_grpc.PeerStub(channel).Probe(request, timeout=1)
        channel.close()
        time.sleep(1)


def _read_cpu_ms(pid):
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK') * _MS_PER_SECOND


class _Sample:
    """The CPU time and sent messages of the instance at a point in time."""

    __slots__ = ('cpu_ms', 'messages_received', 'taken_s')

    def __init__(self, fleet, pid):
        self.cpu_ms = _read_cpu_ms(pid)
        self.messages_received = fleet.messages_received
        self.taken_s = time.monotonic()

    def rates_since(self, earlier):
        """Return CPU milliseconds and messages per second."""
        elapsed_s = self.taken_s - earlier.taken_s
        cpu_ms = self.cpu_ms - earlier.cpu_ms
        return (
            cpu_ms / elapsed_s,
            (self.messages_received - earlier.messages_received) / elapsed_s,
        )


@contextmanager
def _run_instance(fleet):
    """Run the stand-ins and the instance; yield its process and address."""
    servers = _start_peers(fleet)
    store = ThreadingHTTPServer((LOOPBACK, 0), StoreStandin)
    Thread(target=store.serve_forever, daemon=True).start()
    with ExitStack() as stack:
        stack.callback(store.shutdown)
        for server in servers:
            stack.callback(server.stop, 0)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        process, address = _start_instance(fleet, store.server_port, folder)
        stack.callback(process.wait)
        stack.callback(process.terminate)
        yield process, address


def measure_size(size, seconds):
    """Measure an idle instance.

    Args:
      size: The number of instances in the fleet.
      seconds: The duration of the measurement.
    Returns:
      A tuple of CPU milliseconds and messages sent, both per second.
    """
    fleet = FakeFleet(size)
    with _run_instance(fleet) as (process, address):
        time.sleep(_STARTUP_S)
        _send_probes(fleet, address, _WARMUP_S)
        before = _Sample(fleet, process.pid)
        _send_probes(fleet, address, seconds)
        return _Sample(fleet, process.pid).rates_since(before)


def main():
    """Print a table row for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='30,195,780')
    parser.add_argument('--seconds', type=int, default=10)
    args = parser.parse_args()
    print('| instances | processor ms a second | messages a second |')
    print('|---|---|---|')
    for size in map(int, args.sizes.split(',')):
        cpu_ms, messages = measure_size(size, args.seconds)
        print(f'| {size} | {cpu_ms:.1f} | {messages:.1f} |')


if __name__ == '__main__':
    main()
