"""Reconciliation of the engines that this instance owns with the plan."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.adapters.log import log_change
from crankchute.core.candidates import MAX_LOAD_AGE_MS, list_members
from crankchute.core.instance_assignment import choose_owner
from crankchute.core.model_assignment import (
    PoolEngine,
    may_change_models,
    plan_models,
)
from crankchute.core.ownership import EngineContents, Order, Ownership
from crankchute.ports.http import WholeResponse

_RECONCILE_INTERVAL_MS = 1000
_DEMAND_DECAY = 0.8


class EngineReconciler:
    """Sends fenced orders to owned engines that differ from the plan."""

    def __init__(self, context, peering, config, fleet):
        """Start the periodic reconciliation.

        Args:
          context: An object with the attributes `timers`, `http_client` and
            `metrics`.
          peering: The Peering.
          config: The ConfigHolder.
          fleet: The Fleet.
        """
        self._timers = context.timers
        self._client = context.http_client
        self._metrics = context.metrics
        self._peering = peering
        self._config = config
        self._fleet = fleet
        self._ownership = Ownership()
        self._demand = {}
        self._owners = {}
        self._membership_version = None
        self._timers.every(_RECONCILE_INTERVAL_MS, self.reconcile)

    @property
    def owned(self):
        """The ids of the engines that this instance owns."""
        return self._ownership.owned()

    def record_demand(self, job):
        """Add the tokens of a request to the demand for its model."""
        previous_tokens = self._demand.get(job.model, 0)
        self._demand[job.model] = previous_tokens + job.tokens

    def reconcile(self):
        """Send an order to each owned engine that differs from the plan."""
        config = self._config.config
        if config is None or not config.policy.placement:
            return
        for pool in config.pools.values():
            if pool.kind == 'model':
                self._reconcile_pool(config, pool)
        for model in self._demand:
            self._demand[model] *= _DEMAND_DECAY

    def _reconcile_pool(self, config, pool):
        now_ms = self._timers.clock.now_ms()
        reporting = [
            backend
            for backend in list_members(config, self._fleet, pool.name)
            if _is_reporting(backend, now_ms)
        ]
        slots = [
            PoolEngine(engine.identity, engine.models) for engine in reporting
        ]
        plan = plan_models(pool, slots, self._demand)
        holdings = {
            engine.identity: engine.load.holding for engine in reporting
        }
        for backend in reporting:
            self._update_owner(backend, now_ms)
            model = config.models[plan[backend.identity]]
            wanted = EngineContents(
                {model.name: model.version},
                model.adapters,
                pool.role,
            )
            if not may_change_models(backend.identity, holdings, wanted):
                continue
            if self._may_order(pool, backend, now_ms):
                self._order(backend, wanted)

    def _update_owner(self, backend, now_ms):
        membership = self._peering.membership
        if self._membership_version != membership.version:
            self._membership_version = membership.version
            self._owners = {}
        owner = self._owners.get(backend.identity)
        if owner is None:
            owner = choose_owner(
                membership.live_members(),
                backend.identity,
                backend.listed.data_centre,
            )
            self._owners[backend.identity] = owner
        is_owner = owner == membership.own.identity
        self._ownership.update(backend.identity, is_owner, now_ms)

    def _may_order(self, pool, backend, now_ms):
        return self._ownership.may_order(
            backend.identity,
            pool.checks_fences and backend.load.checks_fences,
            now_ms,
        )

    def _order(self, backend, wanted):
        fence = self._ownership.next_fence(
            self._config.revision,
            self._peering.membership.own.incarnation,
        )
        order = Order(fence, wanted)
        document = dict(wanted.as_document(), fence=order.fence.rank())
        address = backend.listed.address
        body = orjson.dumps(document)
        payload = build_request('POST', address, '/v1/orders', body)
        self._metrics.count('orders_sent')

        def on_response(status, _body):
            log_change(
                'engine_ordered',
                engine=backend.identity,
                wanted=wanted.as_document(),
                accepted=status == HTTPStatus.OK,
            )

        self._client.send(
            address, payload, WholeResponse(on_response, _ignore_failure)
        )


def _is_reporting(backend, now_ms):
    if backend.load is None or backend.is_leaving:
        return False
    return now_ms - backend.load.at_ms <= MAX_LOAD_AGE_MS


def _ignore_failure(_exc):
    """Ignore a failure: the next reconciliation sends the order again."""
