"""What a daemon with empty memory hears before it serves."""

import asyncio
from typing import Final

from tanagerbend_distribution.budget import Backoff
from tanagerbend_distribution.propagation import Propagation
from tanagerbend_distribution.reading import PlatformReader
from tanagerbend_interfaces import Randomness
from tanagerbend_metrics import Recorder
from tanagerbend_model import Version

PEERS_TO_HEAR: Final = 3
ROUND_SECONDS: Final = 0.5
# Short, because a daemon that waits for its first sheet serves nothing.
LONGEST_BACKOFF_SECONDS: Final = 5.0
# Members that are not readers leave the service to the readers for this
# many times ``wait``.
PATIENCE_FACTOR: Final = 3


class Bootstrap:
    """Brings a daemon with empty memory to a version.

    Explanation
    ===========

    The daemon asks seeds and listed members until three peers that serve
    (or all, if fewer are known) have answered, and takes the newest of
    their versions.  Only if none is heard within ``wait`` it takes the
    value of the configuration service, which may be stale; it is then
    marked provisional.

    Parameters
    ==========

    propagation : Propagation
    reader : PlatformReader
    seeds : tuple of str
        ``address:port`` of daemons that may be up.
    wait : float
        Seconds to wait for peers that serve.
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
        self.serving: set[str] = set()
        self.backoff = self._backoff()
        self.next_read = 0.0

    async def run(self) -> None:
        """Return when a version is in force."""
        started = self.timer.now()
        listing = asyncio.create_task(self._read_host_list())
        try:
            while not self._is_done(self.timer.now() - started):
                await self._round(self.timer.now() - started)
        finally:
            listing.cancel()
        self.recorder.note(
            'bootstrapped' if self.serving else 'bootstrapped_provisionally',
            str(self.propagation.version),
            f'heard {len(self.serving)} peers that serve',
        )

    async def _read_host_list(self) -> None:
        backoff = self._backoff()
        while not await self.reader.read_hosts():
            await self.timer.sleep(backoff.next_delay())

    def _backoff(self) -> Backoff:
        return Backoff(self.random, ROUND_SECONDS, LONGEST_BACKOFF_SECONDS)

    def _is_done(self, elapsed: float) -> bool:
        if self.propagation.version is None:
            return False
        known = len(self.propagation.roster.others())
        enough = min(PEERS_TO_HEAR, max(known, 1))
        return len(self.serving) >= enough or elapsed > self.wait

    async def _round(self, elapsed: float) -> None:
        await asyncio.gather(*(self._ask(peer) for peer in self._peers()))
        if self._may_read_service(elapsed):
            await self._read_service()
        if not self._is_done(elapsed):
            await self.timer.sleep(ROUND_SECONDS)

    async def _read_service(self) -> None:
        if not await self.reader.read_sheet():
            delay = self.backoff.next_delay()
            self.next_read = self.timer.now() + delay

    def _may_read_service(self, elapsed: float) -> bool:
        if self.propagation.version is not None or elapsed < self.wait:
            return False
        if self.timer.now() < self.next_read:
            return False
        patience = self.wait * PATIENCE_FACTOR
        return self.reader.is_reader or elapsed > patience

    def _peers(self) -> list[str]:
        listed = [
            member.peer_address
            for member in self.propagation.roster.reachable()
        ]
        known = sorted({*self.seeds, *listed} - self.serving)
        own = self.propagation.roster.own.peer_address
        others = [peer for peer in known if peer != own]
        return self.random.sample(others, min(PEERS_TO_HEAR, len(others)))

    async def _ask(self, peer: str) -> None:
        match await self.propagation.sync_with(peer):
            case Version():
                self.serving.add(peer)
