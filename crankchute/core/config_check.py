"""Reading a published configuration: all findings at once, or a Config.

Every instance decides alone whether to take a revision, so the check is a
pure function of the documents: all instances come to the same verdict.
"""

import functools
from collections import Counter
from importlib.resources import files

import jsonschema
import orjson

from crankchute.core.config import Config
from crankchute.core.labels import match_labels
from crankchute.core.policies import routing_policies
from crankchute.errors import ConfigError, Finding

LIST_SECTIONS = ('models', 'pools', 'classes', 'accounts')
POLICY_SECTION = 'policy'
_DEFS = '$defs'


def load_config(revision, documents):
    """Check published documents and make a configuration of them.

    Args:
      revision: The platform's revision, an int.
      documents: A map of keys to the bytes published under them.
    Returns:
      A Config.
    Raises:
      ConfigError: With every finding, if there is any.
    """
    findings = []
    sections = _read_sections(documents, findings)
    if not findings:
        findings.extend(_check_names(sections))
    if not findings:
        findings.extend(_check_ties(sections))
    if findings:
        raise ConfigError(findings)
    return Config(revision, sections)


@functools.cache
def load_schema():
    """Return the JSON schema of the configuration, a map."""
    package = files('crankchute.core')
    return orjson.loads(package.joinpath('config_schema.json').read_bytes())


@functools.cache
def _validator(section):
    schema = load_schema()
    part = dict(schema[_DEFS][section])
    part[_DEFS] = schema[_DEFS]
    return jsonschema.Draft202012Validator(part)


def _read_sections(documents, findings):
    sections = {name: [] for name in LIST_SECTIONS}
    sections[POLICY_SECTION] = {}
    for key in sorted(documents):
        section = key.split('/', 1)[0]
        if section not in sections:
            findings.append(Finding(key, 'is not a key of the configuration'))
            continue
        document = _read_document(key, documents[key], findings)
        if document is None:
            continue
        if section == POLICY_SECTION:
            sections[section] = document
        else:
            sections[section].extend(document)
    return sections


def _read_document(key, text, findings):
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as exc:
        findings.append(Finding(key, f'is not JSON: {exc}'))
        return None
    section = key.split('/', 1)[0]
    errors = list(_validator(section).iter_errors(document))
    for error in errors:
        place = f'{key}{error.json_path[1:]}'
        findings.append(Finding(place, error.message))
    return None if errors else document


def _check_names(sections):
    for section in LIST_SECTIONS:
        names = Counter(document['name'] for document in sections[section])
        for name, count in names.items():
            if count > 1:
                yield Finding(f'{section}.{name}', 'is named twice')


def _check_ties(sections):
    config = Config(0, sections)
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
