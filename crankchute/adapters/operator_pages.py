"""HTTP pages for operators: metrics and the state of the process."""

from http import HTTPStatus

import orjson

from crankchute.errors import RequestRefused

_METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class OperatorPages:
    """Serves the metrics at `/metrics` and a state dump at `/state`."""

    def __init__(self, metrics, dump):
        """Create the pages.

        Args:
          metrics: A PrometheusMetrics.
          dump: A function that returns the state, a map of JSON values.
        """
        self._metrics = metrics
        self._dump = dump

    def answer(self, exchange):
        """Answer a request.

        Args:
          exchange: A ForwardExchange.
        Raises:
          RequestRefused: If there is no such page.
        """
        path = exchange.target.partition('?')[0]
        if path == '/metrics':
            headers = [('Content-Type', _METRICS_TYPE)]
            exchange.reply(HTTPStatus.OK, self._metrics.render(), headers)
        elif path == '/state':
            headers = [('Content-Type', 'application/json')]
            body = orjson.dumps(self._dump(), default=str)
            exchange.reply(HTTPStatus.OK, body, headers)
        else:
            raise RequestRefused(
                HTTPStatus.NOT_FOUND,
                'no_such_path',
                f'there is no {path}',
            )
