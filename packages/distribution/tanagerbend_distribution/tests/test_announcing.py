"""Reach of announcements without syncs."""

import random

import attrs
import pytest

from tanagerbend_distribution import Propagation, VersionStore
from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_timer import ManualTimer

DOMAIN_SIZE = 60


@pytest.fixture
def domain():
    """Return the propagation of each member of one failure domain."""
    chance, recorder = random.Random(9), Recorder(ManualTimer())
    first = Member(
        'host-0',
        'pattern',
        'kingston',
        'tas-south',
        1,
        1,
        MemberState.LIVE,
        '10.0.0.1:7000',
        '10.0.0.1:7001',
    )
    members = [
        attrs.evolve(first, host=f'host-{number}')
        for number in range(DOMAIN_SIZE)
    ]
    propagations = {}
    for member in members:
        roster = Roster(member, recorder)
        roster.merge(members)
        propagations[member.host] = Propagation(
            VersionStore(recorder), roster, None, chance, recorder
        )
    return propagations


def test_announcements_alone_reach_every_member(domain):
    """Guards against members that learn of a version only by sync."""
    for start in domain:
        reached, waiting = {start}, [start]
        while waiting:
            targets = domain[waiting.pop()].announce_targets()
            assert len(targets) == 4
            new = {target.host for target in targets} - reached
            reached |= new
            waiting.extend(new)
        assert len(reached) == DOMAIN_SIZE
