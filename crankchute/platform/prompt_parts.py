"""Fingerprints of the prompt parts that requests share.

Callers name the parts of a prompt in order, "ID:TOKENS" separated by commas.
The last part belongs to one request or session; the others may be shared by
any requests.
"""

from crankchute.core.hashing import make_fingerprint
from crankchute.platform.wire import MODEL, PROMPT_PARTS

#: Parts beyond this number are ignored: the ids are the callers' choice, and a
#: header has room for thousands.
MAX_SHARED_PARTS = 32


def fingerprint_shared_parts(exchange, pool):
    """Return the fingerprints of all parts of a prompt but the last.

    Requests of different accounts and paths may share a part.  The same part
    in another pool, or for another model, is another one.

    Args:
      exchange: A ForwardExchange.
      pool: The name of the pool that serves the request.
    Returns:
      A tuple of different ints, at most MAX_SHARED_PARTS.
    """
    text = exchange.header(PROMPT_PARTS)
    if not text:
        return ()
    *shared, _last = text.split(',')
    names = dict.fromkeys(_read_name(element) for element in shared)
    names.pop('', None)
    scope = (pool.encode(), (exchange.header(MODEL) or '').encode())
    return tuple(
        make_fingerprint(*scope, name.encode())
        for name in list(names)[:MAX_SHARED_PARTS]
    )


def _read_name(element):
    return element.partition(':')[0].strip().lower()
