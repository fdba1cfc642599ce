"""Fixtures for the tests of order keys and the ledger."""

import itertools

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_orders import Ledger, LedgerLimits, OrderKeyIssuer
from tanagerbend_timer import ManualTimer


@pytest.fixture
def timer():
    return ManualTimer()


@pytest.fixture
def issuer(timer):
    nonces = itertools.count()
    return OrderKeyIssuer(
        b'a shared key for tests',
        timer,
        lifetime=60.0,
        make_nonce=lambda: str(next(nonces)),
    )


@pytest.fixture
def key(issuer):
    return issuer.issue('print', 'host-1', 7)


@pytest.fixture
def ledger(timer):
    limits = LedgerLimits(records=2, voids=2, answer_bytes=20, body_bytes=15)
    return Ledger(Recorder(timer), limits)
