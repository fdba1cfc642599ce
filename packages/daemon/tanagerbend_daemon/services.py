"""Services of a daemon, on `mode`."""

import asyncio

from mode import Service

from tanagerbend_daemon.assembly import Parts
from tanagerbend_daemon.front import CallServer
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

    async def expire(self) -> None:
        """Drop members that are gone."""
        self.parts.roster.expire()

    @Service.task
    async def follow(self) -> None:
        """Bring this daemon to a version, then watch if it is a reader."""
        parts = self.parts
        await parts.bootstrap.run()
        own = parts.roster.set_own_state(MemberState.LIVE)
        await parts.detector.notify((own,))
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
        self.server = CallServer(parts.calls, parts.orders)

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
        self.add_dependency(ControlService(parts))
        self.add_dependency(CallService(parts))
