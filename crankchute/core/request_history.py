"""The history of one request, from the logs of several instances."""

_PREFIX = 'crankchute:'
_OMITTED_MESSAGE_TYPE = 'log_omitted'
#: Fields that are rendered separately or not at all.
_EXCLUDED_FIELDS = frozenset(
    (
        'message_type',
        'task_level',
        'task_uuid',
        'timestamp',
        'request',
        'instance_name',
    )
)
#: How long before and after a request related lines are shown, in seconds.
_CONTEXT_WINDOW_S = 5


class LogLine:
    """One line of a log.

    Attributes:
      timestamp_s: When it was written, by the writer's clock, in seconds.
      source: The instance or file that it comes from.
      message_type: The message type without its prefix, such as "attempt".
      fields: A map of all its fields.
    """

    __slots__ = ('fields', 'message_type', 'source', 'timestamp_s')

    def __init__(self, source, fields):
        """Create a line.

        Args:
          source: The instance or file.
          fields: A map of JSON values.
        """
        self.timestamp_s = fields.get('timestamp', 0)
        self.source = source
        self.message_type = str(fields.get('message_type', '')).removeprefix(
            _PREFIX
        )
        self.fields = fields


class History:
    """The log lines that concern one request.

    Attributes:
      lines: The LogLines of the request and its context, in order of time.
      omitted: LogLines that report lines omitted during the request.
    """

    __slots__ = ('lines', 'omitted')

    def __init__(self, lines, omitted):
        """Create a history.

        Args:
          lines: LogLines in order of time.
          omitted: LogLines that report omitted lines.
        """
        self.lines = lines
        self.omitted = omitted


def find_history(lines, request_id):
    """Return the history of a request.

    Args:
      lines: LogLines of all instances.
      request_id: The id of the request, or its fingerprint to include all
        submissions of the same request, or that of a part of prompts to include
        all requests with it.
    Returns:
      A History; empty if the request is in none of the logs.
    """
    request_ids = {request_id, *_find_submission_ids(lines, request_id)}
    own = [
        line
        for line in lines
        if line.fields.get('request') in request_ids
        or _concerns(line, request_id)
    ]
    if not own:
        return History([], [])
    servers = {line.fields.get('server') for line in own}
    servers.discard(None)
    sources = {line.source for line in own}
    first_s = min(line.timestamp_s for line in own)
    last_s = max(line.timestamp_s for line in own)
    nearby = [
        line
        for line in lines
        if first_s - _CONTEXT_WINDOW_S
        <= line.timestamp_s
        <= last_s + _CONTEXT_WINDOW_S
    ]
    context = [
        line
        for line in nearby
        if 'request' not in line.fields
        and (line.source in sources)
        and _is_context(line, servers)
    ]
    omitted = [
        line
        for line in nearby
        if line.message_type == _OMITTED_MESSAGE_TYPE and line.source in sources
    ]
    return History(sorted([*own, *context], key=_get_timestamp), omitted)


def render_history(history):
    """Return a history as a list of lines of text.

    Args:
      history: A History with lines.
    """
    start_s = min(
        line.timestamp_s for line in history.lines if _has_request(line)
    )
    texts = [_render_line(line, start_s) for line in history.lines]
    texts.extend(
        f'note: {line.source} left out lines of these kinds: '
        f'{line.fields.get("omitted")}, unread: {line.fields.get("unread")}'
        for line in history.omitted
    )
    return texts


def _find_submission_ids(lines, fingerprint):
    return [
        line.fields['request']
        for line in lines
        if _has_request(line)
        and (
            line.fields.get('fingerprint') == fingerprint
            or fingerprint in line.fields.get('parts', ())
        )
    ]


def _concerns(line, fingerprint):
    """Return whether a line without a request id names a fingerprint."""
    return 'request' not in line.fields and fingerprint in line.fields.get(
        'fingerprints', ()
    )


def _is_context(line, servers):
    if line.fields.get('server') in servers:
        return True
    return line.message_type in {
        'config_in_force',
        'store_lost',
        'store_regained',
    }


def _render_line(line, start_s):
    marker = ' ' if _has_request(line) else '*'
    fields = ' '.join(
        f'{name}={field}'
        for name, field in line.fields.items()
        if name not in _EXCLUDED_FIELDS and field is not None
    )
    after_ms = (line.timestamp_s - start_s) * 1000  # noqa: WPS432  (ms in a second)
    return (
        f'{after_ms:10.1f} ms {marker} {line.source}  {line.message_type}'
        f'  {fields}'
    )


def _has_request(line):
    return 'request' in line.fields


def _get_timestamp(line):
    return line.timestamp_s
