"""Questions about this instance: where to go, and whether it is ready."""

from http import HTTPStatus
from urllib.parse import parse_qs

from crankchute.errors import RequestRefused
from crankchute.platform.wire import READY_PATH, RESOLVE_PATH

_MS_PER_SECOND = 1000


class Directory:
    """Answers callers that ask which instances to use."""

    def __init__(self, choose, ttl_ms):
        """Create the directory.

        Args:
          choose: A function of a data centre that returns
            addresses, "IP:port".
          ttl_ms: How long callers may keep an answer.
        """
        self._choose = choose
        self._ttl_ms = ttl_ms

    def answer(self, exchange):
        """Answer a question.

        Args:
          exchange: A ForwardExchange.
        Raises:
          RequestRefused: If it is no such question, or nobody can serve.
        """
        path, _mark, query = exchange.target.partition('?')
        if path != RESOLVE_PATH:
            raise _no_such_path(path)
        asked = parse_qs(query)
        data_centre = asked.get('zone', [''])[0]
        addresses = self._choose(data_centre)
        if not addresses:
            raise RequestRefused(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no_instance',
                'no instance serves now',
                retry_after_ms=_MS_PER_SECOND,
            )
        exchange.reply_json(
            HTTPStatus.OK,
            {
                'addresses': list(addresses),
                'ttl-s': self._ttl_ms / _MS_PER_SECOND,
            },
        )


class Readiness:
    """Answers the platform's checks."""

    def __init__(self, is_ready):
        """Create the answerer.

        Args:
          is_ready: A function without arguments that returns a bool.
        """
        self._is_ready = is_ready

    def answer(self, exchange):
        """Answer a check; see Directory.answer."""
        path = exchange.target.partition('?')[0]
        if path != READY_PATH:
            raise _no_such_path(path)
        ready = self._is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        exchange.reply(status, b'')


def _no_such_path(path):
    return RequestRefused(
        HTTPStatus.NOT_FOUND,
        'no_such_path',
        f'there is no {path}',
    )
