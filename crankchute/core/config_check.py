"""Reading a published configuration: all findings at once, or a Config.

Every instance decides alone whether to take a revision, so the check is a
pure function of the documents: all instances come to the same verdict.  A
document that did not change since the last revision is not checked again, so
that one change among many accounts costs what the change is.
"""

from collections import Counter

from crankchute.core.config import Config, Policy
from crankchute.core.config_documents import (
    LIST_SECTIONS,
    POLICY_SECTION,
    check_document,
)
from crankchute.core.labels import match_labels
from crankchute.core.policies import routing_policies
from crankchute.errors import ConfigError, Finding


def load_config(revision, documents, cache=None):
    """Check published documents and make a configuration of them.

    Args:
      revision: The platform's revision, an int.
      documents: A map of keys to the bytes published under them.
      cache: A map that this function keeps from one revision to the next, or
        None to check everything.
    Returns:
      A Config.
    Raises:
      ConfigError: With every finding, if there is any.
    """
    checked = _check_all(documents, {} if cache is None else cache)
    findings = [
        finding for document in checked for finding in document.findings
    ]
    if not findings:
        findings.extend(_check_names(checked))
    if not findings:
        config = Config(revision, _gather(checked))
        findings.extend(_check_ties(config))
    if findings:
        raise ConfigError(findings)
    return config


def _check_all(documents, cache):
    for gone in cache.keys() - documents.keys():
        cache.pop(gone)
    for key, payload in documents.items():
        known = cache.get(key)
        if known is None or known.payload != payload:
            cache[key] = check_document(key, payload)
    return [cache[name] for name in sorted(cache)]


def _gather(checked):
    sections = {name: {} for name in LIST_SECTIONS}
    sections[POLICY_SECTION] = Policy({})
    for document in checked:
        if document.section == POLICY_SECTION:
            sections[POLICY_SECTION] = document.things[0]
            continue
        section = sections[document.section]
        section.update({thing.name: thing for thing in document.things})
    return sections


def _check_names(checked):
    for section in LIST_SECTIONS:
        names = Counter()
        for document in checked:
            if document.section == section:
                names.update(thing.name for thing in document.things)
        if names and max(names.values()) > 1:
            yield from _find_repeated(section, names)


def _find_repeated(section, names):
    for name, count in names.items():
        if count > 1:
            yield Finding(f'{section}.{name}', 'is named twice')


def _check_ties(config):
    yield from _check_pools(config)
    yield from _check_classes(config)
    routing = config.policy.routing
    if routing not in routing_policies:
        known = ', '.join(sorted(routing_policies))
        yield Finding('policy.routing', f'{routing!r} is not one of {known}')


def _check_pools(config):
    for pool in config.pools.values():
        place = f'pools.{pool.name}.models'
        if pool.kind == 'service' and pool.models:
            yield Finding(place, 'a service pool has no models')
        if pool.kind == 'model' and not pool.models:
            yield Finding(place, 'a model pool needs a model')
        unknown = [name for name in pool.models if name not in config.models]
        for name in unknown:
            yield Finding(place, f'there is no model {name!r}')


def _check_classes(config):
    for workload in config.classes.values():
        place = f'classes.{workload.name}'
        if not _selects(workload.pools, config.pools):
            yield Finding(f'{place}.pools', 'selects no pool')
        if not _selects(workload.accounts, config.accounts):
            yield Finding(f'{place}.accounts', 'selects no account')


def _selects(selector, things):
    return any(
        match_labels(selector, thing.labels) for thing in things.values()
    )
