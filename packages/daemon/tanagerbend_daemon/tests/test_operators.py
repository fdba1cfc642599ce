"""Endpoints for operators, over loopback HTTP on an idle daemon."""

import aiohttp
import pytest

from tanagerbend_daemon.assembly import assemble
from tanagerbend_daemon.operators import OperatorServer
from tanagerbend_membership.roster import record_from_listing
from tanagerbend_interfaces import Host, MemberState
from tanagerbend_metrics import Encoded, Histograms
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
async def ask(parts):
    """Return a function that asks the endpoints of the daemon."""
    server = OperatorServer(parts)
    url = await server.start('127.0.0.1', 0)
    async with aiohttp.ClientSession() as session:

        async def ask(path, token=TOKEN, method='GET'):
            authorization = {'Authorization': f'Bearer {token}'}
            async with session.request(
                method,
                f'http://{url}{path}',
                headers=authorization if token else {},
            ) as response:
                if response.content_type == 'application/json':
                    return response.status, await response.json()
                return response.status, await response.text()

        yield ask
    await server.close()


async def start(parts):
    parts.store.offer(7, SHEET)
    await parts.drain.open()


@pytest.mark.parametrize(
    'path',
    ['/status', '/metrics', '/journal', '/sheet', '/absent', '/drain'],
)
@pytest.mark.parametrize('token', ['', 'wrong', f'{TOKEN}x', TOKEN[:-1], 'tök'])
async def test_requests_without_the_token_are_refused(ask, path, token):
    """Guards against endpoints that answer, or act for, anyone."""
    status, answer = await ask(path, token)
    assert status == 401
    assert answer['name'] == 'TOKEN_REQUIRED'
    assert answer['ran'] == 'no'


async def test_refused_drain_leaves_the_state(parts, ask):
    """Guards against a drain that runs before the token is checked."""
    await start(parts)
    assert (await ask('/drain', 'wrong', 'POST'))[0] == 401
    assert parts.roster.own.state is MemberState.LIVE


async def test_health_needs_no_token_and_says_little(ask):
    """Guards against leaks through the one open path."""
    assert await ask('/health', '') == (200, {'up': True})


async def test_readiness_names_its_reasons(parts, ask):
    """Guards against a daemon that is not ready and does not say why."""
    status, answer = await ask('/ready')
    assert status == 503
    assert answer['reasons'] == ['no configuration', 'starting']
    await start(parts)
    assert await ask('/ready') == (200, {'ready': True, 'reasons': []})


async def test_drain_and_undrain_change_state_once(parts, ask):
    """Guards against repeated requests that raise the record each time,
    and against an operator who ends the drain of a stop."""
    await start(parts)
    await ask('/drain', method='POST')
    sequence = parts.roster.own.sequence
    status, answer = await ask('/drain', method='POST')
    assert (status, answer['state']) == (200, 'draining')
    assert parts.roster.own.sequence == sequence
    reasons = (await ask('/ready'))[1]['reasons']
    assert reasons == ['draining', 'drain: operator']
    await parts.drain.drain('stop')
    await ask('/undrain', method='POST')
    assert (await ask('/ready'))[1]['reasons'] == ['draining', 'drain: stop']
    await parts.drain.undrain('stop')
    assert parts.roster.own.state is MemberState.LIVE


async def test_status_says_what_is_in_force(parts, ask):
    """Guards against a status that lacks what operators decide by."""
    await start(parts)
    _, answer = await ask('/status')
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


async def test_explain_names_row_version_and_reasons(parts, ask):
    """Guards against explanations that differ from the routes in use."""
    away = Host('host-2', 'pattern', 'hobart-a', 'tas-south', *ADDRESSES)
    gone = Host('host-3', 'pattern', 'kingston', 'tas-south', *ADDRESSES)
    await start(parts)
    parts.roster.merge((record_from_listing(away), record_from_listing(gone)))
    parts.roster.suspect('host-3')
    parts.rebuild_routes()
    status, answer = await ask('/explain?service=pattern&path=/swatches/8')
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
    _, answer = await ask('/explain?service=pattern&path=/swatches/8')
    why = {entry['host']: entry['why'] for entry in answer['instances']}
    assert why['host-2'].startswith('used last: failed calls')
    status, answer = await ask('/explain?service=pattern&path=/other')
    assert (status, answer['name']) == (404, 'ROUTE_UNKNOWN')


async def test_order_key_is_explained_by_its_owner(parts, ask):
    """Guards against an owner that is not told from other daemons."""
    own = parts.roster.own
    issue = parts.orders.issuer.issue
    key = issue(own.service, own.host, own.incarnation)
    _, answer = await ask(f'/order?key={key.token}')
    assert answer['is_owner'] is True
    assert (answer['outcome'], answer['ran']) == ('ORDER_NOT_BEGUN', 'unknown')
    other = issue(own.service, 'host-2', 7)
    _, answer = await ask(f'/order?key={other.token}')
    assert (answer['host'], answer['is_owner']) == ('host-2', False)
    status, answer = await ask('/order?key=tb1.x.y')
    assert (status, answer['name']) == (404, 'ORDER_KEY_INVALID')


async def test_metrics_hold_hostile_names_without_breaking(parts, ask):
    """Guards against labels from outside that break the text format."""
    await start(parts)
    parts.recorder.count('refusals', 'x"} 9\ny{z="')
    parts.recorder.histograms.record('queue_time', 'a"\n', 1, 0.25)
    _, text = await ask('/metrics')
    samples = [row for row in text.splitlines() if row[0] != '#']
    assert all(row.startswith('tanagerbend_') for row in samples)
    assert 'tanagerbend_ready 1.0' in samples
    assert 'tanagerbend_orders_started_again_total 0.0' in samples
    assert 'tanagerbend_members{state="live"} 1.0' in samples
    assert any('quantile="0.99"' in row for row in samples)


async def test_histograms_of_two_daemons_merge(parts, ask):
    """Guards against quantiles that are averaged rather than merged."""
    for milliseconds in range(1, 101):
        parts.recorder.histograms.record(
            'queue_time', 'a', 1, milliseconds / 1e3
        )
    _, answer = await ask('/histograms')
    merged = Histograms()
    for _ in range(2):
        merged.merge(Encoded(**entry) for entry in answer['histograms'])
    histogram = merged.of('queue_time', 'a', 1)
    assert histogram.get_total_count() == 200
    assert histogram.get_value_at_percentile(50) == pytest.approx(5e4, rel=0.02)


async def test_journal_since_a_time(parts, ask):
    """Guards against a report that misses or repeats the night."""
    parts.recorder.note('version_rejected', '3/abc', 'early')
    _, answer = await ask('/journal')
    (entry,) = answer['entries']
    assert entry['reason'] == 'early'
    later = entry['wall'] + 1e-3
    assert (await ask(f'/journal?since={later}'))[1]['entries'] == []
    status, refusal = await ask('/journal?since=nan')
    assert (status, refusal['name']) == (400, 'QUERY_INVALID')


async def test_no_answer_holds_a_secret(parts, ask):
    """Guards against secrets in what operators paste into reports."""
    await start(parts)
    paths = (
        '/status',
        '/roster',
        '/metrics',
        '/journal',
        '/sheet',
        '/histograms',
    )
    answers = [str(await ask(path)) for path in paths]
    assert not any(TOKEN in text or SHARED_KEY in text for text in answers)
