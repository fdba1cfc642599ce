"""Services of a daemon, based on `mode`."""

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from tanagerbend_daemon.assembly import Parts
from tanagerbend_daemon.call_server import CallServer
from tanagerbend_daemon.leaving import CHECK_SECONDS
from tanagerbend_daemon.operators import OperatorService
from tanagerbend_daemon.stalls import RUN_CHECK_SECONDS
from tanagerbend_interfaces import MemberState

EXPIRY_INTERVAL_SECONDS = 5.0
RESTART_DELAY_SECONDS = 1.0


def split_address(address: str) -> tuple[str, int]:
    """Split ``address:port`` into address and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class ControlService(Service):
    """Peer server, bootstrap and the periodic control work."""

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self.parts = parts

    async def on_start(self) -> None:
        """Listen for peers and start the periodic work."""
        parts = self.parts
        peers = parts.settings.peers
        await parts.peer_server.start(
            *split_address(parts.settings.addresses.peers)
        )
        timer, rng = parts.timer, parts.propagation.random
        periodic = (
            (peers.ping_seconds, parts.detector.ping_round),
            (peers.sync_seconds, parts.propagation.sync_round),
            (EXPIRY_INTERVAL_SECONDS, self.expire),
            (CHECK_SECONDS, parts.leaving.check),
            (RUN_CHECK_SECONDS, parts.orders.stalls.record_run),
        )
        for seconds, callback in periodic:
            # The random delay spreads the load of daemons that start together.
            timer.every(seconds, callback, rng.uniform(0, seconds))

    async def expire(self) -> None:
        """Drop members that are gone."""
        self.parts.roster.expire()

    @Service.task
    async def follow(self) -> None:
        """Adopt a first version and open, then watch if this is a reader."""
        parts = self.parts
        await self._restart_on_error(parts.bootstrap.run)
        await parts.drain.start_serving()
        await asyncio.gather(
            self._restart_on_error(parts.reader.watch_sheet),
            self._restart_on_error(parts.reader.watch_host_list),
        )

    async def _restart_on_error(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        # An unexpected exception would end the control work of a daemon that
        # keeps running, and nobody restarts it at night, so the work is
        # started again.
        while True:
            try:
                return await work()
            except Exception as error:  # noqa: BLE001
                reason = repr(error)
                self.parts.recorder.record_event(
                    'control_fault', str(work), reason
                )
                await self.parts.timer.sleep(RESTART_DELAY_SECONDS)

    async def on_stop(self) -> None:
        """Announce the end to the peers, then stop the control work."""
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
        """Start to listen for callers."""
        await self.server.start(
            *split_address(self.parts.settings.addresses.calls)
        )

    async def on_stop(self) -> None:
        """Stop listening."""
        await self.server.close()
        self.parts.backend.watch.close()
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
        """Whether no request is being answered and no order is running."""
        is_running = self.parts.orders.owner.running
        return self.calls.server.is_idle and not is_running

    async def stop_gracefully(self) -> None:
        """Let calls finish, then stop."""
        await self.parts.drain.stop(self.is_idle)
        await self.calls.server.close()
        await self.stop()
