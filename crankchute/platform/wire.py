"""Header names, in lower case, and paths of the platform's HTTP APIs."""

REQUEST_ID = 'x-crankchute-request-id'
#: Shows that a response is from a backend server and unmodified.
SIGNATURE = 'x-crankchute-response-signature'
DEADLINE_MS = 'x-crankchute-deadline-ms'
#: Prompt tokens and maximum answer tokens, separated by a comma.
TOKEN_USAGE = 'x-crankchute-token-usage'
MODEL = 'x-crankchute-model'
#: The parts of a prompt; see prompt_parts.
PROMPT_PARTS = 'x-crankchute-prompt-prefix'
#: The incarnation that a request is for; other incarnations reject it.
TARGET_INCARNATION = 'x-crankchute-target-instance'
#: The incarnation that responded.
OWN_INCARNATION = 'x-crankchute-instance-id'
ACCOUNT = 'x-crankchute-tenant'
NOT_RUN = 'x-crankchute-not-executed'
#: The backend server that failed when several process one prompt.
FAULTY_SERVER = 'at-server'
#: Running requests, waiting requests and slots of the responding server.
TOLD_LOAD = 'x-crankchute-server-load'
#: Set to 1 in every response of a server that is draining.
LEAVING = 'server-leaving'
#: The requests per second, a decimal number, that the responding server accepts
#: from all instances together.  Applies while its responses contain it.
LIMIT = 'server-limit'
#: For how many milliseconds the responding server is cold; 0 if it is not.
COLD_MS = 'x-crankchute-cold-ms'
#: How often the store was restored from an older snapshot; in all responses.
STORE_ERA = 'store-era'
#: With a 503: for how many seconds the server must not be called again.
RETRY_AFTER = 'retry-after'
LAST_EVENT = 'last-event-id'
HELPERS = 'helpers'
PRIORITY = 'priority'
AUTHORIZATION = 'authorization'
HOST = 'host'

RESOLVE_PATH = '/api/resolve'
READY_PATH = '/api/readyz'
ORDER_PATH = '/api/order'
REPORT_PATH = '/api/report'
RANGE_PATH = '/api/kv-range'
WATCH_PATH = '/api/kv-watch'

#: The key of the configuration and the key prefix of backend servers.
CONFIG_KEY = 'op/config'
#: The prefix of the operator's keys, CONFIG_KEY among them.
OPERATOR_PREFIX = 'op/'
#: Followed by the name of a data centre that the operator evacuates.
EVACUATE_PREFIX = 'op/evacuate/'
SERVERS_PREFIX = 'servers/'

#: Hop-by-hop headers, which are not forwarded.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)
#: Request headers that are removed from callers' requests, since only this
#: system may set them.
OWN_HEADERS = frozenset(
    (
        ACCOUNT,
        AUTHORIZATION,
        DEADLINE_MS,
        'expect-version',
        HELPERS,
        LAST_EVENT,
        PRIORITY,
        TARGET_INCARNATION,
    )
)


def drop_connection_headers(headers):
    """Return the headers that may be forwarded.

    Args:
      headers: Pairs of name and text, strings.
    Returns:
      A list of pairs without hop-by-hop headers and those that the Connection
      header names.
    """
    dropped = set(CONNECTION_HEADERS)
    for name, text in headers:
        if name.lower() == 'connection':
            dropped.update(part.strip().lower() for part in text.split(','))
    return [pair for pair in headers if pair[0].lower() not in dropped]
