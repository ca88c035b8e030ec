"""The check of one published document by the schema.

Right documents are accepted by a compiled schema, since a revision may hold
many thousand accounts; for a wrong one a slower library collects every
finding with its place.
"""

import functools
from importlib.resources import files

import fastjsonschema
import jsonschema
import orjson

from crankchute.core.config import (
    Account,
    Model,
    Policy,
    Pool,
    WorkloadClass,
)
from crankchute.errors import Finding

POLICY_SECTION = 'policy'
_FACTORIES = (
    ('models', Model),
    ('pools', Pool),
    ('classes', WorkloadClass),
    ('accounts', Account),
)
LIST_SECTIONS = tuple(name for name, _ in _FACTORIES)
_SECTIONS = frozenset((POLICY_SECTION, *LIST_SECTIONS))
_DEFS = '$defs'


class CheckedDocument:
    """One document after its check by the schema.

    Attributes:
      payload: The bytes that were published.
      section: The section that the document's key belongs to.
      things: The objects that it describes, a list; for the policy one.
      findings: What is wrong with it, a list of Finding.
    """

    __slots__ = ('findings', 'payload', 'section', 'things')

    def __init__(self, payload, section):
        """Create the record of a document without objects or findings.

        Args:
          payload: The bytes that were published.
          section: The section that the document's key belongs to.
        """
        self.payload = payload
        self.section = section
        self.things = []
        self.findings = []


@functools.cache
def load_schema():
    """Return the JSON schema of the configuration, a map."""
    package = files('crankchute.core')
    return orjson.loads(package.joinpath('config_schema.json').read_bytes())


def check_document(key, payload):
    """Check one document.

    Args:
      key: The key that it is published under.
      payload: Its bytes.
    Returns:
      A CheckedDocument, with findings or with objects.
    """
    section = key.split('/', 1)[0]
    checked = CheckedDocument(payload, section)
    if section not in _SECTIONS:
        text = 'is not a key of the configuration'
        checked.findings.append(Finding(key, text))
        return checked
    try:
        document = orjson.loads(payload)
    except orjson.JSONDecodeError as exc:
        checked.findings.append(Finding(key, f'is not JSON: {exc}'))
        return checked
    checked.findings.extend(_find_violations(key, section, document))
    if not checked.findings:
        checked.things = _make_things(section, document)
    return checked


@functools.cache
def _schema_of(section):
    schema = load_schema()
    part = dict(schema[_DEFS][section])
    part[_DEFS] = schema[_DEFS]
    return part


@functools.cache
def _fast_check(section):
    return fastjsonschema.compile(_schema_of(section))


def _find_violations(key, section, document):
    """Accept fast what is right; collect every finding of what is not."""
    try:
        _fast_check(section)(document)
    except fastjsonschema.JsonSchemaValueException:
        validator = jsonschema.Draft202012Validator(_schema_of(section))
        return [
            Finding(f'{key}{error.json_path[1:]}', error.message)
            for error in validator.iter_errors(document)
        ]
    return []


def _make_things(section, document):
    if section == POLICY_SECTION:
        return [Policy(document)]
    factory = dict(_FACTORIES)[section]
    return [factory(part) for part in document]
