"""Model loading of the engine stand-in, controlled by fenced orders."""

from http import HTTPStatus

from crankchute.adapters.http_client import build_request
from crankchute.ports.http import WholeResponse

_FETCH_RETRY_MS = 300


class ModelLoader:
    """Loads and unloads models as orders request.

    Attributes:
      models: The loaded models, a map from name to version.
      adapters: The names of the adapters, a list.
      role: The role assigned to the engine, a string.
      checks_fences: Whether orders with an outdated fence are rejected.
      applied_orders: The number of accepted orders, an int.
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
        self._weight_store = options.get('weights')
        self._highest_fence = []
        self._target_models = dict(options.get('models', {}))
        self._fetching = set()
        self.models = dict(self._target_models)
        self.adapters = []
        self.role = ''
        self.applied_orders = 0

    def apply_order(self, document):
        """Apply an order unless its fence is outdated.

        Args:
          document: A map with `fence`, a list that is compared element by
            element, and optionally `models`, `adapters` and `role`.
        Returns:
          False if the order was rejected as outdated.
        """
        fence = document['fence']
        if self.checks_fences and fence < self._highest_fence:
            return False
        self._highest_fence = max(self._highest_fence, fence)
        self._target_models = document.get('models', self._target_models)
        self.adapters = document.get('adapters', self.adapters)
        self.role = document.get('role', self.role)
        self.applied_orders += 1
        self._reconcile()
        return True

    def _reconcile(self):
        for name in tuple(self.models):
            if name not in self._target_models:
                self.models.pop(name)
        for name, version in self._target_models.items():
            if self.models.get(name) != version:
                self._fetch(name, version)

    def _fetch(self, name, version):
        if self._weight_store is None:
            self.models[name] = version
            return
        if (name, version) in self._fetching:
            return
        self._fetching.add((name, version))
        path = f'/weights/{name}/{version}'
        payload = build_request('GET', self._weight_store, path)
        response = WholeResponse(
            lambda status, _body: self._on_weights_response(
                name, version, status
            ),
            lambda _exc: self._schedule_retry(name, version),
        )
        self._client.send(self._weight_store, payload, response)

    def _on_weights_response(self, name, version, status):
        if status != HTTPStatus.OK:
            self._schedule_retry(name, version)
            return
        self._fetching.discard((name, version))
        if self._target_models.get(name) == version:
            self.models[name] = version

    def _schedule_retry(self, name, version):
        self._fetching.discard((name, version))
        self._timers.after(_FETCH_RETRY_MS, self._reconcile)
