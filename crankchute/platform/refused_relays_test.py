"""Tests of relayed requests that another instance refuses for their content."""

import pytest

from crankchute.adapters.http_intake import IntakeLimits
from crankchute.core.forward_config import ForwardConfig, RequestLimits
from crankchute.platform.relayed_requests_test import Pair
from crankchute.platform.standin_paced import Caller, Ending
from crankchute.platform.standin_relays import RelayingInstances

_MAX_HEADER_BYTES = 32_768
_BODY = b'body'
_WAIT_MS = 400


def send_padded(entry, padding, target='/once/?ms=40'):
    """Send a request with a header of some length; return the Caller."""
    sock = entry.connect()
    caller = Caller(sock, 'padded', entry.since_stop_ms())
    entry.requests.append(caller)
    lines = (
        f'POST {target} HTTP/1.1',
        'Host: a.example',
        f'X-Crankchute-Request-Id: {caller.request_id}',
        f'Content-Length: {len(_BODY)}',
        'X-Pad: {0}'.format('p' * padding),
        '\r\n',
    )
    sock.sendall('\r\n'.join(lines).encode() + _BODY)
    return caller


def limit_relays(proxy, **fields):
    """Set limits of the requests that other instances relay to a proxy."""
    every = {
        'max_header_bytes': _MAX_HEADER_BYTES,
        'max_body_bytes': 1000,
        'header_timeout_ms': 5000,
        'body_rate': 4,
    }
    for server in proxy.platform._caller_servers.servers[1:]:
        server.limits = IntakeLimits(**{**every, **fields})


@pytest.mark.parametrize('kind', ['once', 'again', 'stream'])
@pytest.mark.parametrize(
    ('padding', 'limits', 'ending'),
    [
        (_MAX_HEADER_BYTES - 80, {}, Ending.WHOLE),
        (100, {'max_header_bytes': 120}, Ending.NOT_RUN),
        (100, {'max_body_bytes': 1}, Ending.NOT_RUN),
    ],
)
def test_refused_content_drops_all_proxies(padding, limits, ending, kind):
    world = RelayingInstances(proxies=3)
    if limits:
        for proxy in world.proxies:
            limit_relays(proxy, **limits)
    caller = send_padded(world.entry, padding, f'/{kind}/?ms=40')
    world.run_for(_WAIT_MS)
    assert caller.ending == ending
    assert world.count_runs(caller) == int(ending == Ending.WHOLE)
    assert not world.entry.node.desk.paths.dropped


def test_refused_head_on_a_kept_connection_may_have_run():
    """The id must arrive before the header that is over the limit."""
    pair = Pair()
    assert pair.send()[0].end == ('end',)
    padding = ('X-Pad', 'p' * (_MAX_HEADER_BYTES * 2))
    headers = (('Host', 'a.example'), padding)
    listener, _placement = pair.start(request_id='r2', headers=headers)
    pair.wait_for_end(listener)
    assert pair.client.opened == 1
    assert listener.end == ('not run', 'headers_too_large', True, None)


def test_malformed_request_is_sent_to_every_proxy():
    pair = Pair()
    listener, _placement = pair.start(request_id='r' * 201)
    pair.wait_for_end(listener)
    assert listener.end == ('not run', 'bad_request', True, None)
    assert not pair.desk.jobs


@pytest.mark.parametrize('changed', [None, 2000])
def test_relays_have_no_room_for_their_headers(changed):
    """New limits of the configuration leave the room as it is."""
    proxy = RelayingInstances(proxies=1).proxies[0]
    callers, relays = proxy.platform._caller_servers.servers
    if changed is not None:
        request_limits = RequestLimits(
            max_header_bytes=changed,
            max_body_bytes=1000,
            header_timeout_ms=5000,
            idle_timeout_ms=60_000,
        )
        config = ForwardConfig(9, [], [], request_limits=request_limits)
        proxy.node.holder.offer(config, b'')
    allowed = callers.limits.max_header_bytes
    assert allowed == (changed or _MAX_HEADER_BYTES)
    assert relays.limits.max_header_bytes - allowed >= 4096
