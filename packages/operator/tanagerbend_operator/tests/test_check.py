"""Tests of the sub-command ``check``."""

import datetime

import pytest

from tanagerbend_model import Accepted, accept
from tanagerbend_operator.sheets import edition_warnings

HEADER = b'service,work,rank,target_ms\n'
SHEET = HEADER + b'artwork,plates,3,\npattern,swatches,5,\n'
TODAY = datetime.date(2026, 12, 4)


def valid_sheet(content):
    """Return the sheet parsed from valid content."""
    accepted = accept(content)
    assert isinstance(accepted, Accepted)
    return accepted.sheet


def sheet_with_edition(text):
    return valid_sheet(b'edition,%s\n%s' % (text.encode(), SHEET))


def test_all_faults_are_listed(run, tmp_path):
    """Guards against a check that stops at the first fault."""
    (tmp_path / 'a.csv').write_bytes(HEADER + b'artwork,plates,x,\n,b,1,0\n')
    status, found, _ = run('check', 'a.csv', '--json')
    assert status == 1
    assert [
        (fault['row'], fault['column'], fault['code'])
        for fault in found['faults']
    ] == [
        (2, 'rank', 107),
        (3, 'service', 106),
        (3, 'target_ms', 107),
    ]
    status, text, _ = run('check', 'a.csv')
    assert 'row 2 column rank: ' in text
    assert '(code 107 SHEET_VALUE_INVALID)' in text


def test_changes_are_shown_against_a_file(run, tmp_path):
    """Guards against changes that are missing from the comparison."""
    (tmp_path / 'a.csv').write_bytes(SHEET)
    (tmp_path / 'b.csv').write_bytes(
        HEADER + b'artwork,plates,2,90\nartwork,proofs,4,\n',
    )
    status, text, _ = run('check', 'b.csv', '--against', 'a.csv')
    assert status == 0
    assert 'changed artwork/plates: rank 3 -> 2, target_ms 500 -> 90' in text
    assert 'added artwork/proofs' in text
    assert 'removed pattern/swatches' in text


def test_older_edition_than_a_daemon_has_is_a_warning(run, daemons, tmp_path):
    """Guards against publishing a sheet that daemons reject as older."""
    day = datetime.date.today()
    held = b'edition,%s.2\n%s' % (str(day).encode(), SHEET)
    daemons.answers[0, '/sheet'] = held
    (tmp_path / 'a.csv').write_bytes(held.replace(b'.2', b'.1'))
    address = daemons.addresses[0]
    status, found, _ = run('check', 'a.csv', '--against', address, '--json')
    assert status == 4
    assert found['changes'] == []
    assert 'daemons will not take this sheet' in found['warnings'][0]


def test_daemon_without_sheet_or_answer_is_status_3(run, daemons, tmp_path):
    """Guards against reporting no changes without a sheet to compare."""
    (tmp_path / 'a.csv').write_bytes(SHEET)
    address = daemons.addresses[0]
    assert run('check', 'a.csv', '--against', address)[0] == 3
    daemons.stop(0)
    assert run('check', 'a.csv', '--against', address)[0] == 3


@pytest.mark.parametrize(
    ('text', 'in_force', 'expected'),
    [
        ('2026-12-04', '2026-12-03', ()),
        ('2026-12-11', '2026-12-03', ()),
        ('2026-12-12', '2026-12-03', ('8 days after',)),
        ('2025-12-04', '2025-12-03', ('365 days before',)),
        ('2026-12-03', '2026-12-04', ('older than 2026-12-04',)),
        ('2026-12-04', '2026-12-04', ('not newer',)),
        ('2026-12-04.1', '2026-12-04', ()),
    ],
)
def test_edition_warnings(text, in_force, expected):
    """Guards against a mistyped edition that blocks all later sheets."""
    warnings = edition_warnings(
        sheet_with_edition(text).edition, TODAY, sheet_with_edition(in_force)
    )
    assert len(warnings) == len(expected)
    assert all(part in warnings[0] for part in expected)


def test_sheet_without_edition_is_older_than_sheet_with_one():
    """Guards against a missing warning for a sheet that daemons ignore."""
    (warning,) = edition_warnings((), TODAY, sheet_with_edition('2026-12-04'))
    assert 'edition none is older' in warning


def test_equal_sheets_have_no_changes(run, tmp_path):
    """Guards against reporting defaults written out as changes."""
    (tmp_path / 'a.csv').write_bytes(SHEET)
    (tmp_path / 'b.csv').write_bytes(SHEET.replace(b'3,\n', b'3,500\n'))
    status, found, _ = run('check', 'b.csv', '--against', 'a.csv', '--json')
    assert (status, found['changes']) == (0, [])
    assert 'no work class' in run('check', 'b.csv', '--against', 'a.csv')[1]


def test_settings_files_are_validated(run, tmp_path):
    """Guards against invalid settings that only fail at daemon start."""
    (tmp_path / 'host.toml').write_text('[host]\nname = "a b"')
    status, found, _ = run('check', 'host.toml', '--json')
    assert status == 1
    assert 'host.name' in [fault['key'] for fault in found['faults']]


@pytest.mark.parametrize('name', ['absent.csv', '.'])
def test_unreadable_file_is_reported(run, name):
    """Guards against a traceback instead of an error message."""
    status, _, errors = run('check', name)
    assert status == 2
    assert errors.startswith(f'{name}: ')
