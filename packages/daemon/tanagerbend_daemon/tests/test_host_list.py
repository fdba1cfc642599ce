"""Host lists with odd entries, as another writer leaves them."""

import json

import pytest

from tanagerbend_daemon.platform_client import HttpHostList
from tanagerbend_daemon.tests.call_path import member
from tanagerbend_interfaces import Published
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal
from tanagerbend_timer import ManualTimer

HUGE = 10**400


class PublishedList:
    """Service that holds one value."""

    def __init__(self, content):
        self.content = content

    async def read(self, key):
        """Return the value."""
        return Published(key, 7, self.content)


def entry(host, **changes):
    """Return an entry of a host."""
    return {
        'host': host,
        'service': 'artwork',
        'failure_domain': 'kingston',
        'region': 'tas-south',
        'call_address': '10.0.0.2:7001',
        'peer_address': '10.0.0.2:7002',
        **changes,
    }


async def listing_of(content):
    """Return what is read of a value."""
    return await HttpHostList(PublishedList(content), 'hosts').read()


@pytest.mark.parametrize(
    'odd',
    [
        7,
        None,
        [],
        {},
        {'host': 'odd'},
        entry('odd', call_address='10.0.0.3:70000'),
        entry('odd', peer_address=HUGE),
        entry('odd', service='s' * 70000),
        entry('a\0b'),
        entry('\ud800'),
    ],
    ids=lambda odd: str(odd)[:40],
)
async def test_odd_host_hides_no_other(odd):
    """Guards against one entry that stops a daemon from following the list."""
    hosts = [entry('host-2'), *[odd] * 300, entry('host-3')]
    listing = await listing_of(json.dumps({'hosts': hosts}).encode())
    recorder = Recorder(ManualTimer())
    roster = Roster(member('host-1'), recorder)
    roster.observe_host_list(listing)
    assert roster.members.keys() == {'host-1', 'host-2', 'host-3'}
    assert recorder.counters.get('hosts_refused', 'invalid') == 300


@pytest.mark.parametrize(
    'content',
    [b'[' * 100000, b'{"hosts": ' + b'[' * 100000, b'', b'{"hosts": 7}'],
    ids=lambda content: content[:16].decode(),
)
async def test_list_that_cannot_be_read_is_refused_whole(content):
    """Guards against nested bytes that end the following."""
    assert isinstance(await listing_of(content), Refusal)
