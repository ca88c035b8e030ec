"""What an instance without requests costs, by the size of its fleet.

Runs one instance on the platform in a process of its own.  This process plays
the store and all other instances, each with its own gRPC server over loopback,
which answer as members of a fleet at rest and probe the instance as often as
such a fleet would.  Prints processor milliseconds and messages a second:

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

_START_S = 2
_SETTLE_S = 8
_STRONG = 2000
_USUAL = 500
_RUMOURS = 12
_AGE_MS = 500
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


class Fleet:
    """The other members, as one of them tells of them.

    Attributes:
      members: The Members.
      active: Those that are active.
      asked: How many messages the measured instance sent.
    """

    def __init__(self, size):
        """Create a fleet.

        Args:
          size: How many instances it has, the measured one included.
        """
        ports = pick_ports(size - 1)
        strong = count_active(size)
        self.members = [
            Member(
                f'entry-{number}',
                'boot',
                1,
                peer_address=f'{LOOPBACK}:{port}',
                http_address=f'{LOOPBACK}:1',
                data_centre=f'z{number % 5}',
                strength=_STRONG if number < strong else _USUAL,
            )
            for number, port in enumerate(ports)
        ]
        ranking = Ranking(self.members)
        self.active = ranking.choose(strong, lambda _one: True)
        self.asked = 0

    def gossip(self, member):
        """Return what a member says with every message."""
        others = random.sample(self.members, min(_RUMOURS, len(self.members)))
        return peer_pb2.Gossip(
            members=[write_member(one) for one in (member, *others)],
        )


class PeerStandin(peer_pb2_grpc.PeerServicer):
    """One member of the fleet."""

    def __init__(self, fleet, member):
        """Create the member.

        Args:
          fleet: The Fleet.
          member: Its Member.
        """
        self._fleet = fleet
        self._member = member

    def Probe(self, request, context):  # noqa: N802  (named by the protocol)
        """Answer a probe."""
        self._fleet.asked += 1
        gossip = self._fleet.gossip(self._member)
        return peer_pb2.ProbeReply(gossip=gossip, reached=True)

    def Share(self, request, context):  # noqa: N802  (named by the protocol)
        """Answer as an active instance does."""
        self._fleet.asked += 1
        active = self._fleet.active
        digest = hash_members(active)
        told = () if request.digest == digest else active
        return peer_pb2.Briefing(
            instance=self._member.identity,
            boot='boot',
            is_serving=True,
            version=1,
            proof_age_ms=_AGE_MS,
            digest=digest,
            active=[write_member(one) for one in told],
            servers_revision=REVISION,
            servers_age_ms=_AGE_MS,
        )


def _serve_fleet(fleet):
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


def _probe_like_a_fleet(fleet, address, seconds):
    """Probe the instance once a second, as a fleet of any size does."""
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
    """What the instance had used and sent at a moment."""

    __slots__ = ('asked', 'cpu_ms', 'taken_s')

    def __init__(self, fleet, pid):
        self.cpu_ms = _read_cpu_ms(pid)
        self.asked = fleet.asked
        self.taken_s = time.monotonic()

    def rates_since(self, earlier):
        """Return processor milliseconds and messages a second."""
        spent_s = self.taken_s - earlier.taken_s
        cpu_ms = self.cpu_ms - earlier.cpu_ms
        return cpu_ms / spent_s, (self.asked - earlier.asked) / spent_s


@contextmanager
def _running(fleet):
    """Run the stand-ins and the instance; gives its process and address."""
    servers = _serve_fleet(fleet)
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
    """Return what an instance at rest costs.

    Args:
      size: How many instances the fleet has.
      seconds: For how long it is measured.
    Returns:
      Processor milliseconds a second, and messages sent a second.
    """
    fleet = Fleet(size)
    with _running(fleet) as (process, address):
        time.sleep(_START_S)
        _probe_like_a_fleet(fleet, address, _SETTLE_S)
        before = _Sample(fleet, process.pid)
        _probe_like_a_fleet(fleet, address, seconds)
        return _Sample(fleet, process.pid).rates_since(before)


def main():
    """Print a row for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='30,195,780')
    parser.add_argument('--seconds', type=int, default=10)
    flags = parser.parse_args()
    print('| instances | processor ms a second | messages a second |')
    print('|---|---|---|')
    for size in map(int, flags.sizes.split(',')):
        cost, sent = measure_size(size, flags.seconds)
        print(f'| {size} | {cost:.1f} | {sent:.1f} |')


if __name__ == '__main__':
    main()
