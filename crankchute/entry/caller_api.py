"""The HTTP API of an entry instance: completions, services and operations."""

import secrets
from http import HTTPStatus

from crankchute.adapters.routes import Routes, read_query
from crankchute.core.instance_assignment import choose_instances
from crankchute.core.service_router import ServiceAnswer
from crankchute.entry.responses import make_response, send_refusal
from crankchute.entry.completion_request import (
    bad_request,
    read_caller,
    read_completion,
)
from crankchute.entry.service_dispatcher import (
    MAX_KEY_LIFETIME_MS,
    SERVICES_PATH,
)
from crankchute.errors import RequestRefused

_METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
_NOT_READY_RETRY_MS = 500
_KEEP_ALIVE_INTERVAL_MS = 2000
routes = Routes()


class CallerApi:
    """Handles the HTTP requests to an entry instance."""

    def __init__(self, node):
        """Create the API and start the keep-alive timer.

        Args:
          node: The EntryNode.
        """
        self._node = node
        self._responses = {}
        node.timers.every(_KEEP_ALIVE_INTERVAL_MS, self._send_keep_alives)

    def handle_request(self, exchange):
        """Handle a request.

        Args:
          exchange: An Exchange.
        Raises:
          RequestRefused: If the request is rejected before any processing.
        """
        try:
            routes.dispatch(self, exchange)
        except RequestRefused as refusal:
            self._node.metrics.count('bad_requests', refusal.code)
            raise

    @routes.add('POST', '/v1/completions')
    @routes.add('POST', '/v1/chat/completions')
    def complete(self, exchange):
        """Handle a completion or chat completion."""
        self._require_serving()
        node = self._node
        request = read_completion(
            node.config.config,
            exchange,
            node.now_ms(),
            f'req-{secrets.token_hex(8)}',
        )
        response = make_response(
            exchange, request, lambda: self._forget_response(request)
        )
        self._responses[request.job.request_id] = response
        node.reconciler.record_demand(request.job)
        flow = node.dispatcher.submit(request.job, response)
        if flow is not None and not flow.ended:
            exchange.on_gone = lambda: self._cancel_request(request, flow)

    @routes.add('GET', SERVICES_PATH)
    @routes.add('POST', SERVICES_PATH)
    @routes.add('PUT', SERVICES_PATH)
    @routes.add('PATCH', SERVICES_PATH)
    @routes.add('DELETE', SERVICES_PATH)
    def call_service(self, exchange):
        """Forward a call to a service."""
        self._require_serving()
        caller = read_caller(self._node.config.config, exchange)
        call = self._node.service_dispatcher.read_call(exchange, caller)
        self._node.service_dispatcher.submit(
            call,
            lambda response: _send_service_response(exchange, response),
        )

    @routes.add('GET', '/v1/models')
    def list_models(self, exchange):
        """List the models in the format of the OpenAI API."""
        self._require_serving()
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'crankchute'}
            for name in self._node.config.config.models
        ]
        exchange.reply(HTTPStatus.OK, {'object': 'list', 'data': models})

    @routes.add('GET', '/v1/addresses')
    def list_addresses(self, exchange):
        """Return the entry instances that an account should use."""
        self._require_serving()
        node = self._node
        name = read_query(exchange).get('account')
        if name is None:
            raise bad_request('missing_account', 'say ?account=NAME')
        account = node.config.config.accounts.get(name)
        if account is None:
            raise RequestRefused(
                HTTPStatus.FORBIDDEN,
                'unknown_account',
                f'there is no account {name!r}',
            )
        members = choose_instances(
            node.peering.membership.live_members(),
            name,
            account.width,
            node.peering.membership.own.data_centre,
        )
        document = {
            'ttl_ms': node.settings.address_ttl_ms,
            'addresses': [_describe_member(member) for member in members],
            'binding': self._describe_binding(),
        }
        exchange.reply(HTTPStatus.OK, document)

    @routes.add('GET', '/healthz')
    def report_health(self, exchange):
        """Report whether this instance accepts callers."""
        if self._node.is_accepting:
            exchange.reply(HTTPStatus.OK, {'status': 'ok'})
        else:
            exchange.reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'status': self._node.phase},
            )

    @routes.add('GET', '/metrics')
    def report_metrics(self, exchange):
        """Return all metrics in the Prometheus text format."""
        text = self._node.metrics.render()
        exchange.reply(HTTPStatus.OK, text, _METRICS_TYPE)

    @routes.add('GET', '/v1/state')
    def dump_state(self, exchange):
        """Return the state of this process."""
        exchange.reply(HTTPStatus.OK, self._node.dump())

    def _forget_response(self, request):
        self._responses.pop(request.job.request_id, None)

    def _cancel_request(self, request, flow):
        self._forget_response(request)
        self._node.dispatcher.cancel(flow)

    def _send_keep_alives(self):
        for response in tuple(self._responses.values()):
            response.keep_alive()

    def _require_serving(self):
        if not self._node.is_serving:
            raise RequestRefused(
                HTTPStatus.SERVICE_UNAVAILABLE,
                self._node.phase,
                f'this instance is {self._node.phase}',
                _NOT_READY_RETRY_MS,
            )

    def _describe_binding(self):
        node = self._node
        return {
            'instance': node.binding.instance,
            'boot': node.binding.boot,
            'now_ms': int(node.now_ms()),
            'longest_ms': MAX_KEY_LIFETIME_MS,
            'address': node.settings.http_address_text,
        }


def _describe_member(member):
    return {
        'instance': member.identity,
        'boot': member.boot,
        'address': member.http_address,
        'data_centre': member.data_centre,
    }


def _send_service_response(exchange, response):
    if not exchange.is_open:
        return
    if isinstance(response, ServiceAnswer):
        exchange.reply(response.status, response.body, response.content_type)
    else:
        send_refusal(exchange, response)
