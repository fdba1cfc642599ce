"""Services of a daemon, on `mode`."""

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from tanagerbend_daemon.assembly import Parts
from tanagerbend_daemon.front import CallServer
from tanagerbend_daemon.leaving import CHECK_SECONDS
from tanagerbend_daemon.operators import OperatorService
from tanagerbend_daemon.stalls import BEAT_SECONDS
from tanagerbend_interfaces import MemberState

EXPIRY_SECONDS = 5.0
RESTART_SECONDS = 1.0


def split(address: str) -> tuple[str, int]:
    """Split ``address:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class ControlService(Service):
    """Peer server, bootstrap and the periodic control work."""

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self.parts = parts

    async def on_start(self) -> None:
        """Listen to peers and subscribe to the timer."""
        parts = self.parts
        peers = parts.settings.peers
        await parts.peer_server.start(*split(parts.settings.addresses.peers))
        timer, chance = parts.timer, parts.propagation.random
        periodic = (
            (peers.ping_seconds, parts.detector.ping_round),
            (peers.sync_seconds, parts.propagation.sync_round),
            (EXPIRY_SECONDS, self.expire),
            (CHECK_SECONDS, parts.leaving.check),
            (BEAT_SECONDS, parts.orders.stalls.beat),
        )
        for seconds, callback in periodic:
            # Daemons that start together do not send together.
            timer.every(seconds, callback, chance.uniform(0, seconds))

    async def expire(self) -> None:
        """Drop members that are gone."""
        self.parts.roster.expire()

    @Service.task
    async def follow(self) -> None:
        """Bring this daemon to a version, then watch if it is a reader."""
        parts = self.parts
        await self._keep_on(parts.bootstrap.run)
        await parts.drain.open()
        await asyncio.gather(
            self._keep_on(parts.reader.watch_sheet),
            self._keep_on(parts.reader.watch_host_list),
        )

    async def _keep_on(self, work: Callable[[], Awaitable[None]]) -> None:
        # Nobody restarts a daemon at night whose control work ended by a
        # fault, so it begins again.
        while True:
            try:
                return await work()
            except Exception as error:  # noqa: BLE001
                reason = repr(error)
                self.parts.recorder.note('control_fault', str(work), reason)
                await self.parts.timer.sleep(RESTART_SECONDS)

    async def on_stop(self) -> None:
        """Tell the peers, then end the control work."""
        parts = self.parts
        await parts.detector.notifier.announce_state(MemberState.GONE)
        await parts.timer.close()
        for part in (parts.guard, parts.catch_up, parts.detector.notifier):
            await part.close()
        await parts.propagation.close()
        await parts.peer_server.close()
        await parts.peer_client.close()


class CallService(Service):
    """HTTP server for callers and entry daemons."""

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self.parts = parts
        self.server = CallServer(parts.calls, parts.drain)

    async def on_start(self) -> None:
        """Listen to callers."""
        await self.server.start(*split(self.parts.settings.addresses.calls))

    async def on_stop(self) -> None:
        """Stop listening."""
        await self.server.close()
        for session in self.parts.sessions:
            await session.close()


class DaemonService(Service):
    """A whole daemon."""

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self.parts = parts
        self.calls = CallService(parts)
        self.add_dependency(OperatorService(parts))
        self.add_dependency(ControlService(parts))
        self.add_dependency(self.calls)

    def is_idle(self) -> bool:
        """Whether no request is answered and no order runs."""
        is_running = self.parts.orders.owner.running
        return self.calls.server.is_idle and not is_running

    async def stop_gracefully(self) -> None:
        """Let calls finish, then stop."""
        await self.parts.drain.stop(self.is_idle)
        await self.calls.server.close()
        await self.stop()
