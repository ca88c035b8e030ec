"""The state dump of an instance that forwards requests."""

from crankchute.adapters.forward_journal import write_fingerprint
from crankchute.entry.cold_server_setup import dump_cold_server

_LISTED_ACCOUNTS = 10


def dump_forward_node(node, backpressure=None):
    """Return the state of an instance for operators.

    Args:
      node: A ForwardNode.
      backpressure: The Backpressure, or None where it is not enabled.
    Returns:
      A dict of JSON values.
    """
    now_ms = node.now_ms()
    return {
        'instance': node.identity.instance,
        'boot': node.identity.boot,
        'data_centre': node.identity.data_centre,
        'phase': node.phase,
        'uptime_ms': round(now_ms),
        'config': {
            'version': node.holder.version,
            'proof_age_ms': node.holder.proof_age_ms(now_ms),
        },
        'servers_listed': {
            'revision': node.servers.revision,
            'spans': node.servers.coverage.spans,
            'proof_age_ms': node.servers.proof_age_ms(now_ms),
        },
        'evacuations': _dump_evacuations(node.fleet.evacuations, now_ms),
        'active': [entry.identity for entry in node.peers.sharing.active],
        'home': node.peers.sharing.home,
        'peers_heard_ms_ago': node.peers.sharing.last_peer_message_age_ms(),
        'members': [
            _dump_member(entry) for entry in node.peers.membership.all_members()
        ],
        'servers': [_dump_server(node, entry) for entry in node.fleet],
        'servers_drained': node.fleet.list_drained(),
        'servers_gone': node.fleet.list_recently_removed(),
        'requests_in_progress': node.desk.in_progress,
        'send_buffers': None if backpressure is None else backpressure.dump(),
        'requests_held': [
            _dump_held(entry, now_ms) for entry in node.crashes.quarantined
        ],
        'crashes_remembered': len(node.crashes),
        'pools': node.describe_pools(),
        'paths': node.desk.paths.describe_state(),
        'accounts': _dump_accounts(node.work_tracker.account_shares, now_ms),
        'counters': _dump_counters(node.metrics.counts),
    }


def _dump_evacuations(evacuations, now_ms):
    records = []
    for record in evacuations.records:
        withdrawn_ms = evacuations.withdrawn_ms(record.data_centre)
        if withdrawn_ms is not None:
            withdrawn_ms = round(now_ms - withdrawn_ms)
        records.append(
            {
                'data_centre': record.data_centre,
                'position': record.position,
                'evacuated': record.is_evacuated,
                'withdrawn_ms_ago': withdrawn_ms,
            }
        )
    return {'known': evacuations.is_known, 'records': records}


def _dump_member(member):
    return {
        'instance': member.identity,
        'boot': member.boot,
        'address': member.http_address,
        'data_centre': member.data_centre,
        'draining': member.draining,
        'strength': member.strength,
        'status': member.status.name.lower(),
    }


def _dump_server(node, backend):
    state = node.work_tracker.state(backend.identity)
    return {
        'server': backend.identity,
        'address': '{0}:{1}'.format(*backend.listed.address),
        'labels': backend.listed.labels,
        'state': backend.listed.state,
        'in_flight': backend.in_flight,
        'left_alone': backend.breaker.is_open,
        'rests_for_ms': round(max(backend.paused_until_ms - node.now_ms(), 0)),
        'limit': node.peers.limits.in_force.limit_of(backend.identity),
        'cold': dump_cold_server(node.peers.limits.cold, backend.identity),
        'next_turn_ms': round(
            node.peers.limits.permits.wait_ms(backend.identity)
        ),
        'wait_ms': round(state.wait_ms(node.now_ms()), 1),
        'writers': state.decode_count,
        'memory': state.memory,
        'memory_refused_for_ms': round(state.left_out_ms(node.now_ms())),
    }


def _dump_held(held, now_ms):
    return {
        'fingerprints': [
            write_fingerprint(one) for one in sorted(held.suspects)
        ],
        'held_for_ms': round(now_ms - held.held_ms),
        'asked_ms_ago': round(now_ms - held.asked_ms),
    }


def _dump_accounts(account_shares, now_ms):
    return {
        'tracked': account_shares.count_accounts(now_ms),
        'largest': [
            {
                'account': usage.name,
                'hash': f'{usage.account:08x}',
                'share': round(usage.share, 3),
                'excess': round(usage.excess, 2),
            }
            for usage in account_shares.list_largest(_LISTED_ACCOUNTS, now_ms)
        ],
    }


def _dump_counters(counts):
    return {
        key if isinstance(key, str) else '/'.join(key): count
        for key, count in sorted(counts.items(), key=str)
    }
