"""Services of a daemon, on `mode`."""

import asyncio

from mode import Service

from tanagerbend_daemon.assembly import Parts
from tanagerbend_daemon.front import CallServer
from tanagerbend_daemon.leaving import CHECK_SECONDS
from tanagerbend_interfaces import MemberState

EXPIRY_SECONDS = 5.0


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
        timer = parts.timer
        timer.every(
            peers.ping_seconds,
            parts.detector.round,
            peers.ping_seconds,
        )
        timer.every(
            peers.sync_seconds,
            parts.propagation.sync_round,
            peers.sync_seconds,
        )
        timer.every(EXPIRY_SECONDS, self.expire)
        timer.every(CHECK_SECONDS, parts.leaving.check)

    async def expire(self) -> None:
        """Drop members that are gone."""
        self.parts.roster.expire()

    @Service.task
    async def follow(self) -> None:
        """Bring this daemon to a version, then watch if it is a reader."""
        parts = self.parts
        await parts.bootstrap.run()
        await parts.drain.open()
        await asyncio.gather(
            parts.reader.watch_sheet(),
            parts.reader.watch_host_list(),
        )

    async def on_stop(self) -> None:
        """End the control work."""
        await self.parts.timer.close()
        await self.parts.propagation.close()
        await self.parts.peer_server.close()
        await self.parts.peer_client.close()


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
        self.add_dependency(ControlService(parts))
        self.add_dependency(self.calls)

    def is_idle(self) -> bool:
        """Whether no request is answered and no order runs."""
        is_running = self.parts.orders.owner.running
        return self.calls.server.is_idle and not is_running

    async def stop_gracefully(self) -> None:
        """Let calls finish, tell the peers, then stop."""
        await self.parts.drain.stop(self.is_idle)
        await self.calls.server.close()
        await self.parts.drain.announce(MemberState.GONE)
        await self.stop()
