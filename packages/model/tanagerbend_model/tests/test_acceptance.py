"""Validation of sheets: spreadsheet variants and malformed values."""

import pathlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerbend_model import (
    Accepted,
    Rejected,
    ResultCode,
    accept,
    difference,
)
from tanagerbend_model.faults import MAX_FAULTS

EXAMPLES = pathlib.Path(__file__).parents[4] / 'examples'
HEADER = 'service,work,rank,urgent,target_ms,floor_percent'
PLAIN = f'{HEADER}\nartwork,colour,1,yes,150,20\npattern,swatches,7,,,\n'
CORPUS_SIZE = 400
CODE = ResultCode


def faults_of(text):
    """Return the faults of a text as (row, column, code)."""
    result = accept(text if isinstance(text, bytes) else text.encode())
    assert isinstance(result, Rejected)
    return [(fault.row, fault.column, fault.code) for fault in result.faults]


@pytest.mark.parametrize(
    'variant',
    [
        '\ufeff' + PLAIN,
        PLAIN.replace('\n', '\r\n'),
        PLAIN.replace('\n', '\r'),
        PLAIN.rstrip('\n'),
        PLAIN + ',,,,,\n\n , ,\n',
        PLAIN.replace('\n', ',,\n'),
        PLAIN.replace('artwork', '"artwork"').replace('yes', '"YES"'),
        PLAIN.replace(HEADER, HEADER.title()),
        PLAIN.replace('yes', 'True').replace(',7', ', 7 '),
        '\n,,\n' + PLAIN,
    ],
)
def test_spreadsheet_variants_are_equivalent(variant):
    """Guards against rejecting a sheet because of its export format."""
    result = accept(variant.encode())
    assert isinstance(result, Accepted)
    assert result.sheet == accept(PLAIN.encode()).sheet


@pytest.mark.parametrize(
    ('text', 'row'),
    [
        (f'{HEADER}\nartwork,"a\nb",1,,,\nartwork,c,x,,,\n', 3),
        (f'{HEADER}\n\n,,\nartwork,c,x,,,\n', 4),
        (f'edition,2026-12-04\r\n{HEADER}\r\nartwork,c,x,,,\r\n', 3),
    ],
)
def test_row_numbers_are_those_of_the_spreadsheet(text, row):
    """Guards against faults that name another row than the spreadsheet."""
    assert (row, 'rank', CODE.SHEET_VALUE_INVALID) in faults_of(text)


def test_all_faults_are_reported_in_one_run():
    """Guards against reading that stops at the first fault, so that each
    fault takes another export."""
    text = (
        'edition,2026-02-30\nservice,work,rank,colour\n'
        'artwork,a,0\n"art"work,b,1\nart work,,x\nartwork,c,1,,5\n'
        'artwork,d,1\nartwork,D,1\n'
    )
    assert faults_of(text) == [
        (1, 'edition', CODE.SHEET_EDITION_INVALID),
        (2, 'colour', CODE.SHEET_COLUMN_UNKNOWN),
        (3, 'rank', CODE.SHEET_VALUE_INVALID),
        (4, '', CODE.SHEET_NOT_TEXT),
        (5, 'service', CODE.SHEET_VALUE_INVALID),
        (5, 'work', CODE.SHEET_VALUE_MISSING),
        (5, 'rank', CODE.SHEET_VALUE_INVALID),
        (6, '', CODE.SHEET_ROW_LENGTH),
        (8, 'work', CODE.SHEET_ROW_DUPLICATE),
    ]


def test_floors_above_capacity_are_reported_beside_other_faults():
    """Guards against a sum of floors that is checked only after the other
    faults are fixed."""
    text = PLAIN + 'artwork,plates,2,,,90\nartwork,proofs,x,,,\n'
    assert faults_of(text) == [
        (0, 'floor_percent', CODE.SHEET_FLOORS_EXCEED_CAPACITY),
        (5, 'rank', CODE.SHEET_VALUE_INVALID),
    ]


def _with_cell(rng, column, cell):
    """Return a sheet of random length with one cell replaced."""
    names = HEADER.split(',')
    rows = [
        [f'service-{rng.randrange(9)}', f'work-{number}', '3', '', '', '']
        for number in range(rng.randrange(1, 30))
    ]
    rng.choice(rows)[names.index(column)] = cell
    return '\n'.join([HEADER, *(','.join(row) for row in rows)]).encode()


def _with_invalid_edition(rng):
    day = rng.choice(['2026-02-30', '2026-13-01', '0000-01-01', '4/12/26'])
    return f'edition,{day}\n{PLAIN}'.encode()


MALFORMED_SHEETS = {
    CODE.SHEET_NOT_TEXT: [
        lambda rng: PLAIN.encode('utf-16'),
        lambda rng: PLAIN.replace('colour', 'teñido').encode('cp1252'),
        lambda rng: _with_cell(rng, 'work', '"colour"x'),
        lambda rng: _with_cell(rng, 'work', '"colour'),
        lambda rng: _with_cell(rng, 'work', 'x' * 200_000),
    ],
    CODE.SHEET_TOO_LARGE: [
        lambda rng: b'\n' * (2**20 + rng.randrange(1, 9)),
    ],
    CODE.SHEET_EMPTY: [
        lambda rng: b',\r\n' * rng.randrange(9),
        lambda rng: HEADER.encode(),
    ],
    CODE.SHEET_COLUMN_MISSING: [
        lambda rng: PLAIN.replace(
            rng.choice(['service', 'work', 'rank']), 'urgent', 1
        ).encode(),
        lambda rng: PLAIN.replace(',', rng.choice(';\t')).encode(),
    ],
    CODE.SHEET_COLUMN_UNKNOWN: [
        lambda rng: PLAIN.replace('urgent', 'colour').encode(),
        lambda rng: PLAIN.replace('urgent', 'rank').encode(),
    ],
    CODE.SHEET_VALUE_MISSING: [
        lambda rng: _with_cell(
            rng, rng.choice(['service', 'work', 'rank']), ''
        ),
    ],
    CODE.SHEET_VALUE_INVALID: [
        lambda rng: _with_cell(
            rng, 'rank', rng.choice(['0', '10', '-1', '1.5', '３'])
        ),
        lambda rng: _with_cell(rng, 'urgent', 'maybe'),
        lambda rng: _with_cell(rng, 'target_ms', '"1,500"'),
        lambda rng: _with_cell(rng, 'service', 'camión'),
        lambda rng: _with_cell(rng, 'work', '"two\nlines"'),
        lambda rng: _with_cell(rng, 'floor_percent', '101'),
        lambda rng: (PLAIN + 'Artwork,proofs,1,,,\n').encode(),
    ],
    CODE.SHEET_ROW_DUPLICATE: [
        lambda rng: (PLAIN + 'artwork,colour,2,,,\n').encode(),
        lambda rng: (PLAIN + 'artwork,Colour,2,,,\n').encode(),
    ],
    CODE.SHEET_FLOORS_EXCEED_CAPACITY: [
        lambda rng: f'{PLAIN}artwork,x,{rng.randrange(1, 9)},,,81'.encode(),
    ],
    CODE.SHEET_EDITION_INVALID: [
        _with_invalid_edition,
        lambda rng: f'edition,2026-12-04\nedition,2026-12-04\n{PLAIN}'.encode(),
    ],
    CODE.SHEET_ROW_LENGTH: [
        lambda rng: _with_cell(rng, 'floor_percent', '5,9'),
    ],
}


def test_each_kind_of_malformed_sheet_has_its_code():
    """Guards against malformed sheets that are accepted or get a wrong
    code."""
    rng = random.Random(4)
    cases = [
        (code, make)
        for code, makers in MALFORMED_SHEETS.items()
        for make in makers
    ]
    for number in range(CORPUS_SIZE):
        code, make = cases[number % len(cases)]
        found = {fault[2] for fault in faults_of(make(rng))}
        assert found == {code} or (
            # The replacement of a required column duplicates `urgent`.
            code is CODE.SHEET_COLUMN_MISSING
            and found == {code, CODE.SHEET_COLUMN_UNKNOWN}
        ), (number, code, found)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=300),
        st.text(max_size=300).map(str.encode),
        st.text('sevicworkan,"\r\n\ufeff109;edt-', max_size=200).map(
            lambda text: f'service,work,rank\n{text}'.encode()
        ),
    )
)
def test_any_bytes_give_the_same_result_twice(content):
    """Guards against exceptions, and against results that depend on the
    sheets read before."""
    result = accept(content)
    accept(PLAIN.encode())
    assert result == accept(content)
    if isinstance(result, Rejected):
        assert result.faults


@pytest.mark.parametrize(
    'content',
    [
        b'service,work,rank\n' + b'a\n' * 500_000,
        ','.join(f'c{number}' for number in range(100_000)).encode(),
    ],
)
def test_faults_of_a_large_value_are_bounded(content):
    """Guards against a malformed sheet that exhausts the memory of every
    daemon."""
    result = accept(content)
    assert MAX_FAULTS < len(result.faults) < MAX_FAULTS + 10


@pytest.mark.parametrize(
    ('name', 'services', 'urgent', 'orders'),
    [
        (
            'tas-south',
            {'pattern', 'artwork'},
            {'colour-profiles'},
            {'print-orders'},
        ),
        (
            'centro-mx',
            {'order', 'document'},
            {'truck-bookings', 'certificates'},
            {'truck-bookings', 'glue-orders'},
        ),
    ],
)
def test_example_sheets_are_valid(name, services, urgent, orders):
    """Guards against published examples that daemons reject."""
    sheet = accept((EXAMPLES / f'{name}.csv').read_bytes()).sheet
    assert sheet.services == services
    assert {row.work for row in sheet.work if row.urgent} == urgent
    assert {row.work for row in sheet.work if row.order} == orders
    assert sheet.edition[:3] == (2026, 12, 4)


def test_difference_lists_added_removed_and_changed_work():
    """Guards against changes that operators are not shown."""
    old = accept(PLAIN.encode()).sheet
    changed = PLAIN.replace('swatches,7', 'repeats,7').replace('150', '90')
    new = accept(changed.encode()).sheet
    assert [str(change) for change in difference(old, new)] == [
        'artwork/colour: target_ms 150 -> 90',
        'pattern/repeats: added',
        'pattern/swatches: removed',
    ]
    assert difference(new, new) == ()
