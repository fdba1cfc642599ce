"""Host lists with malformed entries, as another program may write."""

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


class FixedValueService:
    """Configuration service that returns one fixed value."""

    def __init__(self, content):
        self.content = content

    async def read(self, key):
        """Return the value."""
        return Published(key, 7, self.content)


def entry(host, **changes):
    """Return a valid entry with some fields changed."""
    return {
        'host': host,
        'service': 'artwork',
        'failure_domain': 'kingston',
        'region': 'tas-south',
        'call_address': '10.0.0.2:7001',
        'peer_address': '10.0.0.2:7002',
        **changes,
    }


async def read_listing(content):
    """Return the result of reading a value as host list."""
    return await HttpHostList(FixedValueService(content), 'hosts').read()


@pytest.mark.parametrize(
    'malformed',
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
    ids=lambda malformed: str(malformed)[:40],
)
async def test_malformed_entry_hides_no_other_host(malformed):
    """Guards against one malformed entry that blocks the whole list."""
    hosts = [entry('host-2'), *[malformed] * 300, entry('host-3')]
    listing = await read_listing(json.dumps({'hosts': hosts}).encode())
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
    """Guards against deeply nested input that ends the watch of the list."""
    assert isinstance(await read_listing(content), Refusal)
