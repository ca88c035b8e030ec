"""`crankchute check`: validate a configuration and print all findings.

Each document is a file named after its key: `models.json`, `pools.json`,
`classes.json`, `policy.json`, and `accounts.json` or `accounts/NAME.json`.
"""

import sys
from pathlib import Path

from crankchute.core.config_loader import load_config
from crankchute.errors import ConfigError, Finding

_SUFFIX = '.json'


def add_parser(subparsers):
    """Add the parser of this command."""
    parser = subparsers.add_parser(
        'check',
        help='validate a configuration',
        description='Validate the documents in a directory and print each '
        'finding with its location.',
    )
    parser.add_argument('folder', help='directory of JSON documents')
    parser.set_defaults(run=run)


def run(flags, _environ):
    """Run the command and return its exit code."""
    config = load_config(1, read_folder(flags.folder))
    sys.stdout.write(
        f'valid: {len(config.pools)} pools, {len(config.classes)} classes, '
        f'{len(config.accounts)} accounts, {len(config.models)} models\n',
    )
    return 0


def read_folder(folder):
    """Read the configuration documents in a directory.

    Args:
      folder: The path of the directory.
    Returns:
      A map from key to bytes.
    Raises:
      ConfigError: If there are no documents, or one cannot be read.
    """
    root = Path(folder)
    documents = {}
    findings = []
    for path in sorted(root.rglob(f'*{_SUFFIX}')):
        key = str(path.relative_to(root)).removesuffix(_SUFFIX)
        try:
            documents[key] = path.read_bytes()
        except OSError as exc:
            findings.append(Finding(str(path), str(exc)))
    if not documents and not findings:
        findings.append(Finding(folder, 'contains no JSON documents'))
    if findings:
        raise ConfigError(findings)
    return documents
