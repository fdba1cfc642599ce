"""Bootstrap of a daemon that holds no version yet."""

import asyncio
from typing import Final

from tanagerbend_distribution.budget import Backoff
from tanagerbend_distribution.propagation import Propagation
from tanagerbend_distribution.reading import PlatformReader
from tanagerbend_interfaces import Randomness
from tanagerbend_metrics import Recorder
from tanagerbend_model import Version

MIN_SERVING_PEERS: Final = 3
ROUND_SECONDS: Final = 0.5
# Short, because a daemon serves nothing until it has its first sheet.
MAX_BACKOFF_SECONDS: Final = 5.0
# Non-readers read the configuration service themselves only after this
# many times the bootstrap wait, to leave its capacity to the readers.
NON_READER_WAIT_FACTOR: Final = 3


class Bootstrap:
    """Obtains the first version of a daemon after its start.

    Explanation
    ===========

    The daemon syncs with seeds and listed members until three serving
    peers (or all, if fewer are known) have answered, and adopts the
    newest of their versions.  A serving peer has a version in force.  If
    none answers within ``wait``, the daemon reads the configuration
    service, whose value may be stale; the version is then provisional.

    Parameters
    ==========

    propagation : Propagation
    reader : PlatformReader
    seeds : tuple of str
        ``address:port`` of daemons that may be running.
    wait : float
        Seconds to wait for serving peers.
    random : Randomness
    recorder : Recorder
    """

    def __init__(
        self,
        propagation: Propagation,
        reader: PlatformReader,
        seeds: tuple[str, ...],
        wait: float,
        random: Randomness,
        recorder: Recorder,
    ) -> None:
        self.propagation = propagation
        self.reader = reader
        self.seeds = seeds
        self.wait = wait
        self.random = random
        self.recorder = recorder
        self.timer = recorder.timer
        self.serving_peers: set[str] = set()
        self.backoff = self._make_backoff()
        self.next_read_at = 0.0

    async def run(self) -> None:
        """Run until a version is in force."""
        start = self.timer.now()
        host_list_task = asyncio.create_task(self._read_host_list())
        try:
            while not self._is_done(self.timer.now() - start):
                await self._sync_round(self.timer.now() - start)
        finally:
            host_list_task.cancel()
        self.recorder.record_event(
            'bootstrapped'
            if self.serving_peers
            else 'bootstrapped_provisionally',
            str(self.propagation.version),
            f'synced with {len(self.serving_peers)} serving peers',
        )

    async def _read_host_list(self) -> None:
        backoff = self._make_backoff()
        while not await self.reader.read_hosts():
            await self.timer.sleep(backoff.next_delay())

    def _make_backoff(self) -> Backoff:
        return Backoff(self.random, ROUND_SECONDS, MAX_BACKOFF_SECONDS)

    def _is_done(self, elapsed: float) -> bool:
        if self.propagation.version is None:
            return False
        known_count = len(self.propagation.roster.others())
        required = min(MIN_SERVING_PEERS, max(known_count, 1))
        return len(self.serving_peers) >= required or elapsed > self.wait

    async def _sync_round(self, elapsed: float) -> None:
        await asyncio.gather(
            *(self._sync_with(peer) for peer in self._choose_peers())
        )
        if self._may_read_service(elapsed):
            await self._read_service()
        if not self._is_done(elapsed):
            await self.timer.sleep(ROUND_SECONDS)

    async def _read_service(self) -> None:
        if not await self.reader.read_sheet():
            delay = self.backoff.next_delay()
            self.next_read_at = self.timer.now() + delay

    def _may_read_service(self, elapsed: float) -> bool:
        if self.propagation.version is not None or elapsed < self.wait:
            return False
        if self.timer.now() < self.next_read_at:
            return False
        non_reader_wait = self.wait * NON_READER_WAIT_FACTOR
        return self.reader.is_reader or elapsed > non_reader_wait

    def _choose_peers(self) -> list[str]:
        listed = [
            member.peer_address
            for member in self.propagation.roster.reachable()
        ]
        candidates = sorted({*self.seeds, *listed} - self.serving_peers)
        own = self.propagation.roster.own.peer_address
        others = [peer for peer in candidates if peer != own]
        return self.random.sample(others, min(MIN_SERVING_PEERS, len(others)))

    async def _sync_with(self, peer: str) -> None:
        match await self.propagation.sync_with(peer):
            case Version():
                self.serving_peers.add(peer)
