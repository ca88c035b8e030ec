"""Reconciling the engines that this instance owns with the configuration."""

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

_PASS_MS = 1000
_DEMAND_KEPT = 0.8


class Owner:
    """Sends fenced orders to owned engines whose state is not as wanted."""

    def __init__(self, parts, peering, config, fleet):
        """Start the passes.

        Args:
          parts: An object with `timers`, `http_client` and `metrics`.
          peering: The Peering.
          config: The ConfigHolder.
          fleet: The Fleet.
        """
        self._timers = parts.timers
        self._client = parts.http_client
        self._metrics = parts.metrics
        self._peering = peering
        self._config = config
        self._fleet = fleet
        self._ownership = Ownership()
        self._demand = {}
        self._owners = {}
        self._version = None
        self._timers.every(_PASS_MS, self.run_pass)

    @property
    def owned(self):
        """The ids of the engines owned now."""
        return self._ownership.owned()

    def record_demand(self, job):
        """Count a request towards its model's demand."""
        known = self._demand.get(job.model, 0)
        self._demand[job.model] = known + job.tokens

    def run_pass(self):
        """Compare every owned engine with the plan and order what differs."""
        config = self._config.config
        if config is None or not config.policy.placement:
            return
        for pool in config.pools.values():
            if pool.kind == 'model':
                self._reconcile_pool(config, pool)
        for model in self._demand:
            self._demand[model] *= _DEMAND_KEPT

    def _reconcile_pool(self, config, pool):
        now_ms = self._timers.clock.now_ms()
        alive = [
            backend
            for backend in list_members(config, self._fleet, pool.name)
            if _is_reporting(backend, now_ms)
        ]
        slots = [PoolEngine(one.identity, one.models) for one in alive]
        plan = plan_models(pool, slots, self._demand)
        held = {one.identity: one.load.holding for one in alive}
        for backend in alive:
            self._update_owner(backend, now_ms)
            model = config.models[plan[backend.identity]]
            wanted = EngineContents(
                {model.name: model.version},
                model.adapters,
                pool.role,
            )
            if not may_change_models(backend.identity, held, wanted):
                continue
            if self._may_order(pool, backend, now_ms):
                self._order(backend, wanted)

    def _update_owner(self, backend, now_ms):
        membership = self._peering.membership
        if self._version != membership.version:
            self._version = membership.version
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

        def take(status, _body):
            log_change(
                'engine_ordered',
                engine=backend.identity,
                wanted=wanted.as_document(),
                accepted=status == HTTPStatus.OK,
            )

        self._client.send(address, payload, WholeResponse(take, _ignore))


def _is_reporting(backend, now_ms):
    if backend.load is None or backend.is_leaving:
        return False
    return now_ms - backend.load.at_ms <= MAX_LOAD_AGE_MS


def _ignore(_exc):
    """Take a failure; the next pass orders again."""
