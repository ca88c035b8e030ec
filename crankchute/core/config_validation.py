"""Schema validation of one published document.

A compiled validator checks every document, since a revision may hold many
thousands of accounts.  It stops at the first error, so a document that fails
is validated again by a slower library that reports all errors and locations.
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


class ValidatedDocument:
    """A document and the result of its validation.

    Attributes:
      payload: The published bytes.
      section: The configuration section, from the first part of the key.
      definitions: The objects built from the document, a list; empty if the
        document is invalid, one Policy for the policy section.
      findings: A list of Finding; empty if the document is valid.
    """

    __slots__ = ('definitions', 'findings', 'payload', 'section')

    def __init__(self, payload, section):
        """Create a result without definitions or findings.

        Args:
          payload: The published bytes.
          section: The configuration section, from the first part of the key.
        """
        self.payload = payload
        self.section = section
        self.definitions = []
        self.findings = []


@functools.cache
def load_schema():
    """Return the JSON schema of the configuration as a map."""
    package = files('crankchute.core')
    return orjson.loads(package.joinpath('config_schema.json').read_bytes())


def validate_document(key, payload):
    """Validate one document and build its definitions.

    Args:
      key: The key under which it is published.
      payload: The published bytes.
    Returns:
      A ValidatedDocument with either findings or definitions.
    """
    section = key.split('/', 1)[0]
    validated = ValidatedDocument(payload, section)
    if section not in _SECTIONS:
        message = 'is not a configuration key'
        validated.findings.append(Finding(key, message))
        return validated
    try:
        document = orjson.loads(payload)
    except orjson.JSONDecodeError as exc:
        validated.findings.append(Finding(key, f'is not JSON: {exc}'))
        return validated
    validated.findings.extend(_find_violations(key, section, document))
    if not validated.findings:
        validated.definitions = _build_definitions(section, document)
    return validated


@functools.cache
def _section_schema(section):
    schema = load_schema()
    section_schema = dict(schema[_DEFS][section])
    section_schema[_DEFS] = schema[_DEFS]
    return section_schema


@functools.cache
def _compiled_validator(section):
    return fastjsonschema.compile(_section_schema(section))


def _find_violations(key, section, document):
    """Return all schema violations as findings; empty if valid."""
    try:
        _compiled_validator(section)(document)
    except fastjsonschema.JsonSchemaValueException:
        validator = jsonschema.Draft202012Validator(_section_schema(section))
        return [
            Finding(f'{key}{error.json_path[1:]}', error.message)
            for error in validator.iter_errors(document)
        ]
    return []


def _build_definitions(section, document):
    if section == POLICY_SECTION:
        return [Policy(document)]
    factory = dict(_FACTORIES)[section]
    return [factory(entry) for entry in document]
