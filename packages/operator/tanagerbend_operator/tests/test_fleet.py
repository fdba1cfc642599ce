"""Tests of the sub-commands that query several daemons."""

import pytest

from tanagerbend_metrics import Histograms
from tanagerbend_model import ResultCode
from tanagerbend_model.advice import ADVICE


def roster_member(index, port, state='live'):
    return {
        'host': f'host-{index}',
        'failure_domain': 'kingston',
        'service': 'artwork',
        'state': state,
        'peer_address': f'127.0.0.1:{port}',
    }


def test_agreeing_fleet_is_fine(run):
    """Guards against false alarms for a healthy fleet."""
    status, found, _ = run('status', '--json')
    assert status == 0
    assert found['newest'] == '2026.12.4.0/7/abc'
    assert not any(daemon['lags'] for daemon in found['daemons'])


@pytest.mark.parametrize(
    'changes',
    [
        {'version': '-/9/abd', 'position': [[], 9]},
        {'version': '2026.12.3.0/90/abd', 'position': [[2026, 12, 3, 0], 90]},
        {'version': None, 'position': None, 'not_ready': ['starting']},
    ],
)
def test_lagging_daemon_is_named(run, daemons, changes):
    """Guards against ordering versions differently from the daemons."""
    daemons.set_status(2, **changes)
    status, found, _ = run('status', '--json')
    assert status == 1
    assert found['newest'] == '2026.12.4.0/7/abc'
    lagging = [daemon['host'] for daemon in found['daemons'] if daemon['lags']]
    assert lagging == ['host-2']
    assert 'kingston: 1 of 2 at the newest' in run('status')[1]


def test_unreachable_daemon_is_named(run, daemons):
    """Guards against omitting unreachable daemons from the status."""
    daemons.stop(1)
    status, text, _ = run('status')
    assert status == 1
    assert daemons.addresses[1] in text
    assert 'unreachable' in text


def test_members_of_the_roster_are_asked(run, daemons):
    """Guards against a status limited to the given addresses."""
    port = daemons.addresses[0].rpartition(':')[2]
    members = [
        roster_member(0, 1),
        roster_member(8, 1, 'suspected'),
        roster_member(9, 1, 'gone'),
    ]
    daemons.answers[0, '/roster'] = {'members': members}
    status, found, _ = run('status', '--json', '--daemon', daemons.addresses[0])
    assert status == 1
    trouble = {daemon['host']: daemon['trouble'] for daemon in found['daemons']}
    assert trouble['host-8'] == f'127.0.0.1:{port} is the daemon of host-0'
    assert trouble['host-9'] == 'gone'
    states = {
        daemon['host']: daemon['roster_state'] for daemon in found['daemons']
    }
    assert states == {'host-0': '', 'host-8': 'suspected', 'host-9': 'gone'}


def test_wrong_token_is_status_3(run, tmp_path):
    """Guards against reporting a wrong token as an empty fleet."""
    path = tmp_path / 'tanagerbend.toml'
    path.write_text(path.read_text().replace('token of', 'other of'))
    status, text, _ = run('status')
    assert status == 3
    assert 'TOKEN_REQUIRED' in text


def test_missing_access_file_is_status_2(run, tmp_path):
    """Guards against a traceback when no access file exists."""
    (tmp_path / 'tanagerbend.toml').unlink()
    for command in ('status', 'histograms', 'report'):
        status, _, errors = run(command)
        assert status == 2
        assert 'SETTINGS_UNREADABLE' in errors


def test_watch_ends_when_a_newer_version_is_everywhere(run, daemons):
    """Guards against treating the version at the start as newer."""
    assert run('status', '--watch', '0.1', '--json')[0] == 1
    changes = {'version': '2026.12.5.0/8/abd', 'position': [[2026, 12, 5], 8]}
    timer = daemons.loop.call_later
    daemons.loop.call_soon_threadsafe(
        timer,
        0.2,
        lambda: [daemons.set_status(index, **changes) for index in range(3)],
    )
    status, found, _ = run('status', '--watch', '60', '--json')
    assert (status, found['newest']) == (0, '2026.12.5.0/8/abd')


def test_histograms_are_merged_by_tenant_and_rank(run, daemons):
    """Guards against showing one daemon instead of the whole fleet."""
    for index in range(3):
        recorded = Histograms()
        recorded.record('queue_time', 'studio', 1, 0.1 * (index + 1))
        encoded = recorded.encode_all()[0]
        daemons.answers[index, '/histograms'] = {
            'histograms': [
                {
                    'name': encoded.name,
                    'tenant': encoded.tenant,
                    'rank': encoded.rank,
                    'text': encoded.text,
                },
            ],
        }
    status, found, _ = run('histograms', '--json')
    (row,) = found['histograms']
    assert (status, row['count'], row['tenant']) == (0, 3, 'studio')
    assert row['quantiles_ms']['0.5'] == pytest.approx(200, rel=0.02)
    assert run('histograms', '--tenant', 'x', '--json')[1]['histograms'] == []


def test_last_live_instance_is_not_drained_by_mistake(run, daemons):
    """Guards against a drain that leaves a service without instances."""
    for index in (1, 2):
        daemons.set_status(index, state='draining', not_ready=['draining'])
    status, _, errors = run('drain', 'host-0')
    assert status == 1
    assert 'last live instance' in errors
    assert daemons.post_requests == []
    assert run('drain', 'host-0', '--force')[0] == 0
    assert daemons.post_requests == [(0, '/drain')]


def test_undrain_that_has_no_effect_is_status_1(run, daemons):
    """Guards against reporting success while the host still drains."""
    changes = {'state': 'draining', 'not_ready': ['drain: stop']}
    daemons.set_status(1, **changes)
    daemons.answers[1, '/undrain'] = daemons.answers[1, '/status']
    status, text, _ = run('undrain', 'host-1')
    assert (status, text.splitlines()[1:]) == (1, ['not ready: drain: stop'])


def test_drain_reaches_the_named_host_alone(run, daemons):
    """Guards against draining a host other than the named one."""
    assert run('drain', 'host-1')[:2] == (
        0,
        'host-1 is draining, 2 calls are running\n',
    )
    assert daemons.post_requests == [(1, '/drain')]
    assert run('drain', 'host-7')[0] == 1


@pytest.mark.parametrize('subject', ['402', 'QUEUE_FULL', 'queue_full'])
def test_codes_are_explained_without_a_daemon(run, daemons, subject):
    """Guards against needing a daemon to explain a result code."""
    for index in range(3):
        daemons.stop(index)
    status, found, _ = run('explain', subject, '--json')
    assert status == 0
    assert found['meaning'] == ADVICE[ResultCode.QUEUE_FULL].meaning


def test_route_is_explained_by_the_next_daemon_that_answers(run, daemons):
    """Guards against failing when the first daemon is unreachable."""
    daemons.stop(0)
    daemons.answers[1, '/explain'] = {
        'version': '-/7/abc',
        'row': 3,
        'work': {'work': 'plates'},
        'instances': [
            {
                'host': 'host-1',
                'failure_domain': 'kingston',
                'state': 'live',
                'why': 'used first',
            },
        ],
    }
    status, text, _ = run('explain', 'artwork', '/plates')
    assert status == 0
    assert 'version -/7/abc, row 3' in text
    assert 'used first' in text


def test_order_key_is_explained_by_its_owner(run, daemons):
    """Guards against using the answer of a daemon that is not owner."""
    for index in range(3):
        daemons.answers[index, '/order'] = {
            'service': 'artwork',
            'host': 'host-1',
            'incarnation': 5,
            'expiry': 9.0,
            'is_owner': index == 1,
            'outcome': 'ORDER_IN_PROGRESS',
            'reason': 'it runs',
            'ran': 'unknown',
        }
    status, text, _ = run('explain', 'tb1.x.y')
    assert status == 0
    assert 'ORDER_IN_PROGRESS: it runs (ran: unknown)' in text
    daemons.stop(1)
    assert 'outcome unknown' in run('explain', 'tb1.x.y')[1]


def test_unknown_route_is_status_1(run, daemons):
    """Guards against reporting a missing row as no answer."""
    refusal = {'code': 306, 'reason': 'relative segments'}
    daemons.answers[0, '/explain'] = refusal
    assert run('explain', 'artwork', '/../x')[0] == 1
    refusal = {'code': 301, 'reason': 'no work covers it'}
    daemons.answers[0, '/explain'] = refusal
    status, _, errors = run('explain', 'artwork', '/x')
    assert (status, errors) == (
        1,
        'no work covers it (code 301 ROUTE_UNKNOWN)\n',
    )
