"""Endpoints for operators, over loopback HTTP on an idle daemon."""

import aiohttp
import pytest

from tanagerbend_daemon.assembly import assemble
from tanagerbend_daemon.operators import OperatorServer
from tanagerbend_interfaces import Host, MemberState
from tanagerbend_membership.roster import record_from_listing
from tanagerbend_metrics import EncodedHistogram, Histograms
from tanagerbend_settings import load

TOKEN = 'token of the operators'
SHARED_KEY = 'shared key of the fleet'
ADDRESSES = '127.0.0.1:9', '127.0.0.1:8'
SHEET = b'service,work,rank\nartwork,plates,3\npattern,swatches,5\n'
SETTINGS = f"""
[host]
deployment = "tas-south"
name = "host-1"
service = "pattern"
failure_domain = "kingston"
region = "tas-south"
[addresses]
calls = "127.0.0.1:9001"
peers = "127.0.0.1:9002"
operators = "127.0.0.1:9003"
backend = "127.0.0.1:9004"
[platform]
url = "http://127.0.0.1:9005"
[peers]
shared_key = "{SHARED_KEY}"
[operators]
token = "{TOKEN}"
"""


@pytest.fixture
async def parts():
    parts = assemble(load(SETTINGS))
    yield parts
    for session in parts.sessions:
        await session.close()
    await parts.propagation.close()


@pytest.fixture
async def fetch(parts):
    """Return a function that sends requests to the endpoints."""
    server = OperatorServer(parts)
    url = await server.start('127.0.0.1', 0)
    async with aiohttp.ClientSession() as session:

        async def fetch(path, token=TOKEN, method='GET'):
            authorization = {'Authorization': f'Bearer {token}'}
            async with session.request(
                method,
                f'http://{url}{path}',
                headers=authorization if token else {},
            ) as response:
                if response.content_type == 'application/json':
                    return response.status, await response.json()
                return response.status, await response.text()

        yield fetch
    await server.close()


async def start(parts):
    parts.store.offer(7, SHEET)
    await parts.drain.start_serving()


@pytest.mark.parametrize(
    'path',
    ['/status', '/metrics', '/journal', '/sheet', '/absent', '/drain'],
)
@pytest.mark.parametrize('token', ['', 'wrong', f'{TOKEN}x', TOKEN[:-1], 'tök'])
async def test_requests_without_the_token_are_refused(fetch, path, token):
    """Guards against endpoints that can be used without the token."""
    status, answer = await fetch(path, token)
    assert status == 401
    assert answer['name'] == 'TOKEN_REQUIRED'
    assert answer['ran'] == 'no'


async def test_refused_drain_leaves_the_state(parts, fetch):
    """Guards against a drain that runs before the token is checked."""
    await start(parts)
    assert (await fetch('/drain', 'wrong', 'POST'))[0] == 401
    assert parts.roster.own.state is MemberState.LIVE


async def test_health_needs_no_token_and_shows_no_state(fetch):
    """Guards against leaks through the only path without a token."""
    assert await fetch('/health', '') == (200, {'up': True})


async def test_readiness_names_its_reasons(parts, fetch):
    """Guards against a daemon that is not ready and gives no reason."""
    status, answer = await fetch('/ready')
    assert status == 503
    assert answer['reasons'] == ['no configuration', 'starting']
    await start(parts)
    assert await fetch('/ready') == (200, {'ready': True, 'reasons': []})


async def test_drain_and_undrain_change_state_once(parts, fetch):
    """Guards against repeated requests that each raise the sequence.

    Also guards against an operator who ends the drain of a stop.
    """
    await start(parts)
    await fetch('/drain', method='POST')
    sequence = parts.roster.own.sequence
    status, answer = await fetch('/drain', method='POST')
    assert (status, answer['state']) == (200, 'draining')
    assert parts.roster.own.sequence == sequence
    reasons = (await fetch('/ready'))[1]['reasons']
    assert reasons == ['draining', 'drain: operator']
    await parts.drain.drain('stop')
    await fetch('/undrain', method='POST')
    assert (await fetch('/ready'))[1]['reasons'] == ['draining', 'drain: stop']
    await parts.drain.undrain('stop')
    assert parts.roster.own.state is MemberState.LIVE


async def test_status_shows_version_and_instance(parts, fetch):
    """Guards against a status without the fields that operators need."""
    await start(parts)
    _, answer = await fetch('/status')
    assert answer['host'] == 'host-1'
    assert answer['version'] == str(parts.store.current.version)
    assert answer['provisional'] is True
    assert answer['reader'] is True
    assert answer['last_read_age'] is None
    assert answer['members'] == {'live': 1}
    assert answer['instance'] == {
        'slots': 6,
        'limit': 6,
        'waiting': 0,
        'orders_held': 0,
        'suspects': [],
        'convicted': [],
    }


async def test_explain_names_row_version_and_reasons(parts, fetch):
    """Guards against explanations that differ from the routes in use."""
    other_domain = Host(
        'host-2', 'pattern', 'hobart-a', 'tas-south', *ADDRESSES
    )
    suspected = Host('host-3', 'pattern', 'kingston', 'tas-south', *ADDRESSES)
    await start(parts)
    parts.roster.merge(
        (record_from_listing(other_domain), record_from_listing(suspected))
    )
    parts.roster.suspect('host-3')
    parts.rebuild_routes()
    status, answer = await fetch('/explain?service=pattern&path=/swatches/8')
    assert status == 200
    assert answer['row'] == 3
    assert answer['work']['work'] == 'swatches'
    why = {entry['host']: entry['why'] for entry in answer['instances']}
    assert why['host-1'].startswith('used first')
    assert why['host-2'].startswith('used: live')
    assert why['host-3'].startswith('not used: unreachable')
    route = parts.calls.table.match('pattern', 'GET', '/swatches')
    parts.calls.balancer.choose(route)
    parts.calls.balancer.stats['host-2'].eject(parts.timer.now())
    _, answer = await fetch('/explain?service=pattern&path=/swatches/8')
    why = {entry['host']: entry['why'] for entry in answer['instances']}
    assert why['host-2'].startswith('used last: failed calls')
    status, answer = await fetch('/explain?service=pattern&path=/other')
    assert (status, answer['name']) == (404, 'ROUTE_UNKNOWN')


async def test_order_key_is_explained_by_its_owner(parts, fetch):
    """Guards against an owner not distinguished from other daemons."""
    own = parts.roster.own
    issue = parts.orders.issuer.issue
    key = issue(own.service, own.host, own.incarnation)
    _, answer = await fetch(f'/order?key={key.token}')
    assert answer['is_owner'] is True
    assert (answer['outcome'], answer['ran']) == ('ORDER_NOT_BEGUN', 'unknown')
    other = issue(own.service, 'host-2', 7)
    _, answer = await fetch(f'/order?key={other.token}')
    assert (answer['host'], answer['is_owner']) == ('host-2', False)
    status, answer = await fetch('/order?key=tb1.x.y')
    assert (status, answer['name']) == (404, 'ORDER_KEY_INVALID')


async def test_metrics_hold_hostile_names_without_breaking(parts, fetch):
    """Guards against labels from outside that break the text format."""
    await start(parts)
    parts.recorder.count('refusals', 'x"} 9\ny{z="')
    parts.recorder.histograms.record('queue_time', 'a"\n', 1, 0.25)
    _, text = await fetch('/metrics')
    samples = [row for row in text.splitlines() if row[0] != '#']
    assert all(row.startswith('tanagerbend_') for row in samples)
    assert 'tanagerbend_ready 1.0' in samples
    assert 'tanagerbend_orders_started_again_total 0.0' in samples
    assert 'tanagerbend_members{state="live"} 1.0' in samples
    assert any('quantile="0.99"' in row for row in samples)


async def test_histograms_of_two_daemons_merge(parts, fetch):
    """Guards against quantiles that are averaged rather than merged."""
    for milliseconds in range(1, 101):
        parts.recorder.histograms.record(
            'queue_time', 'a', 1, milliseconds / 1e3
        )
    _, answer = await fetch('/histograms')
    merged = Histograms()
    for _ in range(2):
        merged.merge(
            EncodedHistogram(**entry) for entry in answer['histograms']
        )
    histogram = merged.get_or_create('queue_time', 'a', 1)
    assert histogram.get_total_count() == 200
    assert histogram.get_value_at_percentile(50) == pytest.approx(5e4, rel=0.02)


async def test_journal_since_a_time(parts, fetch):
    """Guards against a report that misses or repeats entries."""
    parts.recorder.record_event('version_rejected', '3/abc', 'early')
    _, answer = await fetch('/journal')
    (entry,) = answer['entries']
    assert entry['reason'] == 'early'
    later = entry['wall'] + 1e-3
    assert (await fetch(f'/journal?since={later}'))[1]['entries'] == []
    status, refusal = await fetch('/journal?since=nan')
    assert (status, refusal['name']) == (400, 'QUERY_INVALID')


async def test_no_answer_holds_a_secret(parts, fetch):
    """Guards against secrets in answers that operators copy to reports."""
    await start(parts)
    paths = (
        '/status',
        '/roster',
        '/metrics',
        '/journal',
        '/sheet',
        '/histograms',
    )
    answers = [str(await fetch(path)) for path in paths]
    assert not any(TOKEN in text or SHARED_KEY in text for text in answers)
