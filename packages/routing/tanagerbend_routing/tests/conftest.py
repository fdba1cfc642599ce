"""Fixtures for the routing tests: members, routes, a seeded balancer."""

import random

import pytest

from tanagerbend_interfaces import Member, MemberState
from tanagerbend_metrics import Recorder
from tanagerbend_model import WorkClass
from tanagerbend_routing import Balancer, Route
from tanagerbend_timer import ManualTimer


@pytest.fixture
def make_member():
    """Return a function that makes a live member."""

    def make(host, domain='kingston', incarnation=1):
        return Member(
            host=host,
            service='artwork',
            failure_domain=domain,
            region='tas-south',
            incarnation=incarnation,
            sequence=1,
            state=MemberState.LIVE,
            call_address=f'{host}:1',
            peer_address=f'{host}:2',
        )

    return make


@pytest.fixture
def make_route(make_member):
    """Return a function that makes a route to members."""

    def make(*members):
        return Route(WorkClass('artwork', 'plates', 3), members)

    return make


@pytest.fixture
def balancer():
    recorder = Recorder(ManualTimer())
    return Balancer('kingston', random.Random(4), recorder)
