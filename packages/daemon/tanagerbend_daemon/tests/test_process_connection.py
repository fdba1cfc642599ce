"""What an idle connection tells about the process of the instance."""

import asyncio

import pytest

from tanagerbend_daemon.connection_reset import reset_connection
from tanagerbend_daemon.process_connection import ProcessConnection
from tanagerbend_metrics import Recorder
from tanagerbend_quarantine import ProcessState
from tanagerbend_timer import SystemTimer

# Longer than any step of these tests.
LONG_SECONDS = 10.0
SHORT_SECONDS = 0.05


class Process:
    """Listening process whose connections the test ends."""

    def __init__(self):
        self.writers = []
        self.is_full = False

    async def start(self):
        """Start to listen; return ``address:port``."""
        self.server = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def accept(self, _reader, writer):
        """Keep a connection, or reset it if the process is full."""
        if self.is_full:
            reset_connection(writer.transport)
            return
        self.writers.append(writer)

    def reset_all(self):
        """Reset all connections, as a network may."""
        for writer in self.writers:
            reset_connection(writer.transport)
        self.writers.clear()

    def end(self):
        """End as a crashed process does."""
        self.server.close()
        self.reset_all()


@pytest.fixture
async def process():
    started = Process()
    started.address = await started.start()
    yield started
    started.end()


@pytest.fixture
def connection(process):
    opened = ProcessConnection(process.address, Recorder(SystemTimer()))
    yield opened
    opened.close()


async def wait_for(connection, process, action):
    """Wait on the connection while an action ends it."""
    waiting = asyncio.create_task(connection.wait(LONG_SECONDS))
    while not process.writers:
        await asyncio.sleep(0)
    action()
    return await waiting


async def test_connection_ends_with_its_process(connection, process):
    """Guards against a crash that no request notices."""
    state = await wait_for(connection, process, process.end)
    assert state is ProcessState.UNKNOWN
    assert await connection.is_down()


async def test_reset_connection_is_not_the_end_of_a_process(
    connection, process
):
    """Guards against taking a network fault for a crash."""
    state = await wait_for(connection, process, process.reset_all)
    assert state is ProcessState.UNKNOWN
    assert not await connection.is_down()


async def test_full_process_is_not_down(connection, process):
    """Guards against taking a full instance for one that crashed."""
    process.is_full = True
    assert await connection.wait(LONG_SECONDS) is ProcessState.UNKNOWN
    assert not await connection.is_down()


async def test_connection_is_kept_for_later_waits(connection, process):
    """Guards against a new connection to the instance for each wait."""
    for _ in range(3):
        assert await connection.wait(SHORT_SECONDS) is ProcessState.RUNNING
    assert len(process.writers) == 1


async def test_connection_that_ended_meanwhile_is_replaced(connection, process):
    """Guards against taking an old end for that of a running process."""
    assert await connection.wait(SHORT_SECONDS) is ProcessState.RUNNING
    process.reset_all()
    await asyncio.sleep(SHORT_SECONDS)
    assert await connection.wait(SHORT_SECONDS) is ProcessState.RUNNING


async def test_process_that_is_down_opens_no_connection(connection, process):
    """Guards against an error of the watch while the instance is down."""
    process.end()
    assert await connection.wait(LONG_SECONDS) is ProcessState.UNKNOWN
