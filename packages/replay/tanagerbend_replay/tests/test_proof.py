"""The page of proofs against the tests and benches that it names."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[4]
PAGE = ROOT / 'docs' / 'proof.md'
IDS = [f'I{number}' for number in range(1, 10)]
IDS += [f'F{number}' for number in range(1, 11)]
RULES = (
    'MIXED UNASKED TWICE REFUSED DENIED BUDGET GONE LOST ROUTE DRAIN CONFIG'
    ' RECOVER'
).split()
OPEN = 'not proved yet'


@pytest.fixture(scope='module')
def rows():
    """Cells of the table by identifier."""
    found = {}
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        if re.fullmatch('[IF][0-9]+|[A-Z]{4,}', cells[0]):
            found[cells[0]] = cells[1:]
    return found


@pytest.fixture(scope='module')
def existing():
    """Names of all tests and benches."""
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
    """Guards against a promise that one of the two call paths keeps."""
    assert sorted(rows) == sorted(IDS + RULES)
    for own, platform, missing in rows.values():
        assert '`' in own or OPEN in missing
        assert '`' in platform or OPEN in missing


def test_every_named_proof_exists(rows, existing):
    """Guards against a page that names tests which were renamed."""
    named = {
        name
        for *shown, _missing in rows.values()
        for name in re.findall('`([^`]+)`', ' '.join(shown))
    }
    assert named
    assert sorted(named - existing) == []
