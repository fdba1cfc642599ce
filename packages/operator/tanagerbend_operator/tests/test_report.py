"""The report of the night."""

import pytest

BEGIN = 1_000_000.0
SINCE = '1970-01-12T13:46:40+00:00'


def entry(wall, event, subject, reason=''):
    return {
        'wall': BEGIN + wall,
        'event': event,
        'subject': subject,
        'reason': reason,
    }


@pytest.fixture
def night(daemons):
    """Let the daemons tell of a night; returns the journals."""
    journals = {0: [], 1: [], 2: []}
    for index, entries in journals.items():
        daemons.answers[index, '/journal'] = {
            'host': f'host-{index}',
            'entries': entries,
        }
        daemons.answers[index, '/counters'] = {'counters': {}, 'refusals': []}
    return journals


def test_quiet_night_is_status_0(run, night):
    """Guards against a report that cries wolf."""
    night[0].append(entry(5, 'version_adopted', 'v2'))
    night[0].append(entry(6, 'reader_role_taken', 'kingston'))
    status, text, _ = run('report', '--since', SINCE)
    assert status == 0
    assert '3 daemons answered; ok' in text


def test_convergence_counts_daemons_that_were_up(run, night, daemons):
    """Guards against a late start that looks like slow convergence."""
    daemons.show(2, started=BEGIN + 500)
    for index, wall in enumerate((10.0, 11.5, 900.0)):
        night[index].append(entry(wall, 'version_adopted', 'v2'))
    _, found, _ = run('report', '--since', SINCE, '--json')
    (spread,) = found['spreads']
    assert spread['seconds'] == pytest.approx(1.5)
    assert (spread['daemons'], spread['late_starts']) == (3, 1)
    assert found['restarted'] == ['host-2']


def test_equal_entries_are_one_line(run, night):
    """Guards against a page that repeats one loss for each daemon."""
    for entries in night.values():
        entries.append(entry(7, 'member_suspected', 'host-9'))
    status, found, _ = run('report', '--since', SINCE, '--json')
    assert status == 1
    (happening,) = found['happenings']
    assert happening['daemons'] == ['host-0', 'host-1', 'host-2']


def test_entries_before_the_time_are_left_out(run, night):
    """Guards against last night's story in this night's report."""
    night[0].append(entry(-1, 'version_rejected', '6/abc'))
    assert run('report', '--since', SINCE)[0] == 0


def test_refusals_crashes_and_double_orders_are_told(run, night, daemons):
    """Guards against the gravest facts missing from the page."""
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


def test_page_stays_a_page_after_a_bad_night(run, night):
    """Guards against a report that nobody reads to its end."""
    for index in range(300):
        night[0].append(entry(index, 'bootstrapped', f'v{index}'))
        night[1].append(entry(index, 'version_adopted', f'v{index}'))
    night[2].append(entry(999, 'version_rejected', '7/abc', 'first: row 3'))
    _, text, _ = run('report', '--since', SINCE)
    assert len(text.splitlines()) < 80
    assert 'first: row 3' in text


def test_bad_time_is_status_2(run, night):
    """Guards against a report of another time than the one meant."""
    assert run('report', '--since', 'yesterday')[0] == 2
