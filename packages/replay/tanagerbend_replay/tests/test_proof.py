"""Compares the proof page with the tests and benchmarks that it names."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[4]
PAGE = ROOT / 'docs' / 'proof.md'
IDENTIFIERS = [f'I{number}' for number in range(1, 10)]
IDENTIFIERS += [f'F{number}' for number in range(1, 11)]
RULES = (
    'MIXED UNASKED TWICE REFUSED DENIED BUDGET GONE LOST ROUTE DRAIN CONFIG'
    ' RECOVER'
).split()
NOT_PROVED = 'not proved yet'


@pytest.fixture(scope='module')
def rows():
    """Return the table cells of each requirement, by identifier."""
    found = {}
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        if re.fullmatch('[IF][0-9]+|[A-Z]{4,}', cells[0]):
            found[cells[0]] = cells[1:]
    return found


@pytest.fixture(scope='module')
def existing_names():
    """Return the names of all test functions and benchmarks."""
    names = {f'bench.{path.stem}' for path in (ROOT / 'bench').glob('*.py')}
    tests = [
        *(ROOT / 'packages').rglob('test_*.py'),
        *(ROOT / 'platform').rglob('test_*.py'),
    ]
    for path in tests:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
    return names


def test_every_requirement_has_a_row(rows):
    """Guards against a requirement proved for only one of the call paths."""
    assert sorted(rows) == sorted(IDENTIFIERS + RULES)
    for own, platform, missing in rows.values():
        assert '`' in own or NOT_PROVED in missing
        assert '`' in platform or NOT_PROVED in missing


def test_every_named_proof_exists(rows, existing_names):
    """Guards against renamed tests that the page still lists."""
    named = {
        name
        for *shown, _missing in rows.values()
        for name in re.findall('`([^`]+)`', ' '.join(shown))
    }
    assert named
    assert sorted(named - existing_names) == []
