"""Names of headers and paths on the platform's wire, in lower case."""

REQUEST_ID = 'x-crankchute-request-id'
#: Proves that an answer came from a backend server, unchanged.
SIGNATURE = 'x-crankchute-response-signature'
DEADLINE_MS = 'x-crankchute-deadline-ms'
#: Prompt tokens and the most answer tokens, separated by a comma.
TOKEN_USAGE = 'x-crankchute-token-usage'
#: The incarnation a request is meant for; every other one rejects it.
TARGET_INCARNATION = 'x-crankchute-target-instance'
#: The incarnation that answered.
OWN_INCARNATION = 'x-crankchute-instance-id'
ACCOUNT = 'x-crankchute-tenant'
NOT_RUN = 'x-crankchute-not-executed'
#: The backend server at fault when several read one prompt.
FAULTY_SERVER = 'at-server'
#: Requests running, requests waiting and slots of the answering server.
TOLD_LOAD = 'x-crankchute-server-load'
#: Set to 1 in every answer of a server that leaves.
LEAVING = 'server-leaving'
#: The requests a second that the answering server takes from all instances
#: together, a decimal number, for as long as its answers name one.
LIMIT = 'server-limit'
#: How often the store came back from an older copy, in all its answers.
STORE_ERA = 'store-era'
#: With a 503: for how many seconds the server wants nothing from the asker.
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

#: The key of the configuration and the prefix of backend servers' entries.
CONFIG_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'

#: Headers that belong to one connection and are never passed on.
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
#: Headers that only this system sets on a request to a backend server.
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
    """Return the headers that may be passed on.

    Args:
      headers: Pairs of name and text, strings.
    Returns:
      A list of pairs, without those of one connection and those that the
      Connection header names.
    """
    named = set(CONNECTION_HEADERS)
    for name, text in headers:
        if name.lower() == 'connection':
            named.update(part.strip().lower() for part in text.split(','))
    return [pair for pair in headers if pair[0].lower() not in named]
