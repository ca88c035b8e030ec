"""Validation and loading of a published configuration.

Each instance decides independently whether to accept a revision.  Validation
depends only on the documents, so all instances reach the same result.
Results are cached per document: only documents that changed since the last
revision are checked against the schema again.
"""

from collections import Counter

from crankchute.core.config import Config, Policy
from crankchute.core.config_validation import (
    LIST_SECTIONS,
    POLICY_SECTION,
    validate_document,
)
from crankchute.core.labels import match_labels
from crankchute.core.policies import routing_policies
from crankchute.errors import ConfigError, Finding


def load_config(revision, documents, cache=None):
    """Validate published documents and build a configuration from them.

    Args:
      revision: The platform's revision, an int.
      documents: A map of keys to published bytes.
      cache: A map in which this function stores validated documents for the
        next call, or None to validate every document.
    Returns:
      A Config.
    Raises:
      ConfigError: If the configuration is invalid; carries the findings of
        the first stage that fails: schema, duplicate names, references.
    """
    validated = _validate_documents(documents, {} if cache is None else cache)
    findings = [
        finding for document in validated for finding in document.findings
    ]
    if not findings:
        findings.extend(_find_duplicate_names(validated))
    if not findings:
        config = Config(revision, _merge_sections(validated))
        findings.extend(_check_references(config))
    if findings:
        raise ConfigError(findings)
    return config


def _validate_documents(documents, cache):
    for deleted_key in cache.keys() - documents.keys():
        cache.pop(deleted_key)
    for key, payload in documents.items():
        cached = cache.get(key)
        if cached is None or cached.payload != payload:
            cache[key] = validate_document(key, payload)
    return [cache[cached_key] for cached_key in sorted(cache)]


def _merge_sections(validated):
    sections = {name: {} for name in LIST_SECTIONS}
    sections[POLICY_SECTION] = Policy({})
    for document in validated:
        if document.section == POLICY_SECTION:
            sections[POLICY_SECTION] = document.definitions[0]
            continue
        section = sections[document.section]
        section.update(
            {definition.name: definition for definition in document.definitions}
        )
    return sections


def _find_duplicate_names(validated):
    for section in LIST_SECTIONS:
        counts = Counter()
        for document in validated:
            if document.section == section:
                counts.update(
                    definition.name for definition in document.definitions
                )
        if counts and max(counts.values()) > 1:
            yield from _report_duplicates(section, counts)


def _report_duplicates(section, counts):
    for name, count in counts.items():
        if count > 1:
            yield Finding(f'{section}.{name}', 'is defined more than once')


def _check_references(config):
    yield from _check_pools(config)
    yield from _check_classes(config)
    routing = config.policy.routing
    if routing not in routing_policies:
        policies = ', '.join(sorted(routing_policies))
        yield Finding('policy.routing', f'{routing!r} is not one of {policies}')


def _check_pools(config):
    for pool in config.pools.values():
        location = f'pools.{pool.name}.models'
        if pool.kind == 'service' and pool.models:
            yield Finding(location, 'a service pool cannot list models')
        if pool.kind == 'model' and not pool.models:
            yield Finding(location, 'a model pool must list at least one model')
        unknown = [name for name in pool.models if name not in config.models]
        for name in unknown:
            yield Finding(location, f'unknown model {name!r}')


def _check_classes(config):
    for workload in config.classes.values():
        location = f'classes.{workload.name}'
        if not _matches_any(workload.pools, config.pools):
            yield Finding(f'{location}.pools', 'matches no pool')
        if not _matches_any(workload.accounts, config.accounts):
            yield Finding(f'{location}.accounts', 'matches no account')


def _matches_any(selector, candidates):
    return any(
        match_labels(selector, candidate.labels)
        for candidate in candidates.values()
    )
