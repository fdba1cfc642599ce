"""Tests of matching requests to routes, and of the retry budget."""

import hypothesis
import pytest
from hypothesis import strategies

from tanagerbend_model import Accepted, Refusal, Version, accept
from tanagerbend_routing import Route, RouteTable, RetryBudget

SHEET = b"""service,work,rank,method,path,order
artwork,all,7,,/,
artwork,plates,3,,/plates,
artwork,print,1,POST,/plates/print,yes
artwork,proofs,2,,/plates/print/,
"""


@pytest.fixture
def table():
    accepted = accept(SHEET)
    assert isinstance(accepted, Accepted), accepted
    return RouteTable.build(
        Version((), 1, b''), accepted.sheet, lambda service: ()
    )


@pytest.mark.parametrize(
    ('method', 'path', 'work'),
    [
        ('GET', '/', 'all'),
        ('GET', '/plates', 'plates'),
        ('GET', '/plates?x=/plates/print', 'plates'),
        ('GET', '/platesize', 'all'),
        ('POST', '/plates/print', 'print'),
        ('GET', '/plates/print/7', 'proofs'),
        ('POST', '/plates//print', 'print'),
        ('POST', '/%70lates/print', 'print'),
        ('POST', '/plates/../plates/print', None),
        ('POST', '/x/%2e%2E/plates/print', None),
        ('GET', '/plates/.hidden', 'plates'),
        ('GET', '*', None),
    ],
)
def test_longest_prefix_and_method_decide(table, method, path, work):
    """Guards against admitting a request as another class than it runs as."""
    match table.match('artwork', method, path):
        case Route(work=found):
            assert found.work == work
        case Refusal():
            assert work is None


def test_unknown_service_is_refused(table):
    """Guards against falling back to the routes of another service."""
    match table.match('pattern', 'GET', '/'):
        case Refusal(code=code):
            assert code.name == 'ROUTE_UNKNOWN'


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.text(max_size=30))
def test_any_path_is_matched_or_refused(text):
    """Guards against paths that raise an exception."""
    table = RouteTable.build(
        Version((), 1, b''), accept(SHEET).sheet, lambda service: ()
    )
    assert isinstance(table.match('artwork', 'GET', text), Route | Refusal)


def _retry_lost_call(budget):
    return budget.take_retry('artwork', is_lost=True)


def test_retries_are_at_most_a_tenth_of_first_attempts():
    """Guards against retries that amplify an overload."""
    budget = RetryBudget()
    assert sum(_retry_lost_call(budget) for _ in range(50)) == 10
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt('artwork')
        retries += sum(budget.take_retry('artwork') for _ in range(2))
    assert 95 <= retries <= 101
    budget.record_first_attempt('pattern')
    budget.retain(frozenset(('pattern',)))
    assert list(budget.tokens) == ['pattern']
