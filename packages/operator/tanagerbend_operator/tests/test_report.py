"""Tests of the sub-command ``report``."""

import pytest

BEGIN = 1_000_000.0
SINCE = '1970-01-12T13:46:40+00:00'


def journal_entry(wall, event, subject, reason=''):
    return {
        'wall': BEGIN + wall,
        'event': event,
        'subject': subject,
        'reason': reason,
    }


@pytest.fixture
def journals(daemons):
    """Give the fake daemons empty journals; return them by index."""
    entries_by_daemon = {0: [], 1: [], 2: []}
    for index, entries in entries_by_daemon.items():
        daemons.answers[index, '/journal'] = {
            'host': f'host-{index}',
            'entries': entries,
        }
        daemons.answers[index, '/counters'] = {'counters': {}, 'refusals': []}
    return entries_by_daemon


def test_routine_events_are_status_0(run, journals):
    """Guards against false alarms from routine events."""
    journals[0].append(journal_entry(5, 'version_adopted', 'v2'))
    journals[0].append(journal_entry(6, 'reader_role_taken', 'kingston'))
    status, text, _ = run('report', '--since', SINCE)
    assert status == 0
    assert '3 daemons answered; ok' in text


def test_rollout_time_excludes_daemons_that_started_later(
    run, journals, daemons
):
    """Guards against counting a late start as slow adoption."""
    daemons.set_status(2, started=BEGIN + 500)
    for index, wall in enumerate((10.0, 11.5, 900.0)):
        journals[index].append(journal_entry(wall, 'version_adopted', 'v2'))
    _, found, _ = run('report', '--since', SINCE, '--json')
    (rollout,) = found['spreads']
    assert rollout['seconds'] == pytest.approx(1.5)
    assert (rollout['daemons'], rollout['late_starts']) == (3, 1)
    assert found['restarted'] == ['host-2']


def test_equal_entries_of_daemons_are_grouped(run, journals):
    """Guards against repeating one event for each daemon."""
    for entries in journals.values():
        entries.append(journal_entry(7, 'member_suspected', 'host-9'))
    status, found, _ = run('report', '--since', SINCE, '--json')
    assert status == 1
    (group,) = found['happenings']
    assert group['daemons'] == ['host-0', 'host-1', 'host-2']


def test_entries_before_the_time_are_left_out(run, journals):
    """Guards against entries from before the requested period."""
    journals[0].append(journal_entry(-1, 'version_rejected', '6/abc'))
    assert run('report', '--since', SINCE)[0] == 0


def test_refusals_crashes_and_repeated_orders_are_reported(
    run, journals, daemons
):
    """Guards against omitting refusals, crashes or repeated orders."""
    daemons.answers[1, '/counters'] = {
        'counters': {
            'backend_connections_broken': {'': 2},
            'orders_started_again': {'': 1},
        },
        'refusals': [
            {'wall': BEGIN - 60, 'counts': {'QUEUE_FULL': 7}},
            {'wall': BEGIN + 60, 'counts': {'QUEUE_FULL': 40, 'DRAINING': 2}},
        ],
    }
    status, text, _ = run('report', '--since', SINCE)
    assert status == 1
    assert '2 crashes' in text
    assert '1 orders started more than once' in text
    (row,) = [row for row in text.splitlines() if row.startswith('QUEUE_FULL')]
    assert row.split() == ['QUEUE_FULL', '40', '#' * 40]


def test_report_of_many_events_stays_one_page(run, journals):
    """Guards against a page whose length grows with the events."""
    for index in range(300):
        journals[0].append(journal_entry(index, 'bootstrapped', f'v{index}'))
        journals[1].append(journal_entry(index, 'version_adopted', f'v{index}'))
    journals[2].append(
        journal_entry(999, 'version_rejected', '7/abc', 'first: row 3')
    )
    _, text, _ = run('report', '--since', SINCE)
    assert len(text.splitlines()) < 80
    assert 'first: row 3' in text


def test_invalid_time_is_status_2(run, journals):
    """Guards against silently reporting a different period."""
    assert run('report', '--since', 'yesterday')[0] == 2
