"""The state dump of an entry instance."""


def dump_node(node):
    """Return the state of an entry instance for operators.

    Args:
      node: An EntryNode.
    Returns:
      A dict of JSON values.
    """
    now_ms = node.now_ms()
    return {
        'instance': node.binding.instance,
        'boot': node.binding.boot,
        'data_centre': node.settings.data_centre,
        'phase': node.phase,
        'uptime_ms': round(now_ms),
        'config': _dump_config(node),
        'platform': _dump_platform(node, now_ms),
        'instance_findings': [str(entry) for entry in node.inventory.findings],
        'members': [
            _dump_member(entry)
            for entry in node.peering.membership.all_members()
        ],
        'backends': [_dump_backend(entry, now_ms) for entry in node.fleet],
        'owned_engines': node.reconciler.owned,
        'load_polls': node.poller.polls,
        'requests': {
            'in_progress': node.dispatcher.in_progress,
            'waiting': node.dispatcher.waiting,
            'service_calls': node.service_dispatcher.in_progress,
            'remembered_keys': node.service_dispatcher.key_count,
        },
        'accounts': len(node.limits),
        'counters': _dump_counters(node.metrics.counts),
    }


def _dump_config(node):
    config = node.config
    return {
        'in_force': config.revision,
        'seen': config.seen_revision,
        'refused': config.refused_revision,
        'findings': [str(finding) for finding in config.findings],
    }


def _dump_platform(node, now_ms):
    watches = {}
    for name, watch in zip(('config', 'instances'), node.watches):
        failing_since_ms = watch.failing_since_ms
        failing_ms = (
            None
            if failing_since_ms is None
            else round(now_ms - failing_since_ms)
        )
        watches[name] = {
            'watching': watch.is_on,
            'reads': watch.reads,
            'failing_for_ms': failing_ms,
        }
    return watches


def _dump_member(member):
    return {
        'instance': member.identity,
        'boot': member.boot,
        'status': member.status.name.lower(),
        'draining': member.draining,
        'reads_platform': member.reads_platform,
        'data_centre': member.data_centre,
        'http_address': member.http_address,
        'config': member.in_force,
    }


def _dump_backend(backend, now_ms):
    load = backend.load
    return {
        'id': backend.identity,
        'kind': backend.listed.kind,
        'leaving': backend.is_leaving,
        'in_flight': backend.in_flight,
        'pending_tokens': backend.pending_tokens,
        'breaker_open': backend.breaker.is_open,
        'models': backend.models,
        'load_age_ms': None if load is None else round(now_ms - load.at_ms),
    }


def _dump_counters(counts):
    named_counts = {}
    for key, count in counts.items():
        name = key if isinstance(key, str) else ':'.join(key)
        named_counts[name] = count
    return named_counts
