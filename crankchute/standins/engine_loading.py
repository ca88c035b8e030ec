"""Which models the engine stand-in holds, by fenced orders."""

from http import HTTPStatus

from crankchute.adapters.http_client import build_request
from crankchute.ports.http import WholeResponse

_RETRY_MS = 300


class ModelLoader:
    """Loads and drops models as orders say.

    Attributes:
      models: A map from model name to version.
      adapters: Names of adapters, a list.
      role: What the engine is to be used for, a string.
      checks_fences: Whether orders with a lower fence are refused.
      orders_taken: How many orders were taken, an int.
    """

    def __init__(self, client, timers, options):
        """Create the loader.

        Args:
          client: An HttpClient.
          timers: A TimerService.
          options: See EngineServer.
        """
        self._client = client
        self._timers = timers
        self.checks_fences = options.get('checks_fences', True)
        self._weights = options.get('weights')
        self._highest = []
        self._wanted = dict(options.get('models', {}))
        self._fetching = set()
        self.models = dict(self._wanted)
        self.adapters = []
        self.role = ''
        self.orders_taken = 0

    def take(self, document):
        """Take an order.

        Args:
          document: A map with `fence`, a list that compares, and perhaps
            `models`, `adapters` and `role`.
        Returns:
          False if the fence is checked and lower than one seen before.
        """
        fence = document['fence']
        if self.checks_fences and fence < self._highest:
            return False
        self._highest = max(self._highest, fence)
        self._wanted = document.get('models', self._wanted)
        self.adapters = document.get('adapters', self.adapters)
        self.role = document.get('role', self.role)
        self.orders_taken += 1
        self._reconcile()
        return True

    def _reconcile(self):
        for name in tuple(self.models):
            if name not in self._wanted:
                self.models.pop(name)
        for name, version in self._wanted.items():
            if self.models.get(name) != version:
                self._fetch(name, version)

    def _fetch(self, name, version):
        if self._weights is None:
            self.models[name] = version
            return
        if (name, version) in self._fetching:
            return
        self._fetching.add((name, version))
        path = f'/weights/{name}/{version}'
        payload = build_request('GET', self._weights, path)
        sink = WholeResponse(
            lambda status, _body: self._on_weights(name, version, status),
            lambda _exc: self._retry(name, version),
        )
        self._client.send(self._weights, payload, sink)

    def _on_weights(self, name, version, status):
        if status != HTTPStatus.OK:
            self._retry(name, version)
            return
        self._fetching.discard((name, version))
        if self._wanted.get(name) == version:
            self.models[name] = version

    def _retry(self, name, version):
        self._fetching.discard((name, version))
        self._timers.after(_RETRY_MS, self._reconcile)
