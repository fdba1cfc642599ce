"""Fetching of versions from peers that announced them."""

import asyncio
from collections import OrderedDict
from typing import Final

from tanagerbend_distribution.store import Adopted, VersionStore
from tanagerbend_distribution.transfer import unpack
from tanagerbend_interfaces import Content, Fetch, PeerTransport
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode, Version

# Shorter than the later one: the first source may have stopped, and the
# others are likely to have the value.
FIRST_SOURCE_TIMEOUT_SECONDS: Final = 2.0
NEXT_SOURCE_TIMEOUT_SECONDS: Final = 5.0
MAX_SOURCES: Final = 4
MAX_FAILED_VERSIONS: Final = 32


class Fetcher:
    """Fetches the newest announced version from one source at a time.

    Explanation
    ===========

    Announcements of the version that is being fetched add sources, which
    are queried in turn until one returns the value.  A version whose value
    was not adopted, for example because it is not a valid sheet, is not
    fetched again.

    Parameters
    ==========

    store : VersionStore
    transport : PeerTransport
    recorder : Recorder
    """

    def __init__(
        self,
        store: VersionStore,
        transport: PeerTransport,
        recorder: Recorder,
    ) -> None:
        self.store = store
        self.transport = transport
        self.recorder = recorder
        self.wanted: Version | None = None
        self.sources: list[str] = []
        self.failed_versions: OrderedDict[Version, None] = OrderedDict()
        self.task: asyncio.Task[None] | None = None

    def is_newer(self, version: Version | None) -> bool:
        """Tell whether a version is newer than the one in force."""
        if version is None:
            return False
        current = self.store.current
        return current is None or version.is_newer_than(current.version)

    def is_wanted(self, version: Version | None) -> bool:
        """Tell whether a version is newer and has not failed before."""
        return self.is_newer(version) and version not in self.failed_versions

    def offer(self, peer: str, version: Version) -> bool:
        """Start to fetch a version, or add a source to the running fetch.

        Returns whether the version is wanted.

        Parameters
        ==========

        peer : str
            ``address:port`` of a daemon that has the version.
        version : Version
        """
        if not self.is_wanted(version):
            return False
        is_running = self.task is not None and not self.task.done()
        if not is_running or version.is_newer_than(self.wanted):
            self.wanted = version
            self.sources = [peer]
        elif version == self.wanted and len(self.sources) < MAX_SOURCES:
            self.sources.append(peer)
        if not is_running:
            self.task = asyncio.create_task(self._fetch_from_sources())
        return True

    async def fetch_and_wait(self, peer: str, version: Version) -> None:
        """Fetch a version; wait until it is adopted or no source is left."""
        if self.offer(peer, version) and self.task is not None:
            await asyncio.shield(self.task)

    async def _fetch_from_sources(self) -> None:
        timeout = FIRST_SOURCE_TIMEOUT_SECONDS
        while self.sources and self.is_wanted(self.wanted):
            peer = self.sources.pop(0)
            await self.fetch(peer, self.wanted, timeout)
            timeout = NEXT_SOURCE_TIMEOUT_SECONDS

    async def fetch(
        self,
        peer: str,
        version: Version,
        timeout: float,
    ) -> bool:
        """Fetch a version from one peer; return whether it was adopted.

        A value that cannot be unpacked with the held value as dictionary
        is requested again without a dictionary.  ``timeout`` is in seconds
        and holds for each of the two requests.
        """
        current = self.store.current
        held = b'' if current is None else current.version.digest
        outcome = await self._exchange(peer, Fetch(version, held), timeout)
        match outcome:
            case Refusal(code=ResultCode.CONTENT_HASH_MISMATCH) if held:
                full_fetch = Fetch(version)
                outcome = await self._exchange(peer, full_fetch, timeout)
        match outcome:
            case Refusal(code=code):
                self.recorder.count('fetches_refused', code.name)
                return False
        return outcome

    async def _exchange(
        self,
        peer: str,
        fetch: Fetch,
        timeout: float,
    ) -> bool | Refusal:
        answer = await self.transport.request(peer, fetch, timeout)
        match answer:
            case Content(version=Version()):
                return self._adopt_content(answer, fetch.wanted)
            case Content():
                reason = f'{peer} does not hold the version'
                return Refusal(ResultCode.VERSION_BEHIND, reason)
            case Refusal():
                return answer
        return Refusal(
            ResultCode.FRAME_MALFORMED, 'message is not an answer to a fetch'
        )

    def _adopt_content(
        self, content: Content, wanted: Version
    ) -> bool | Refusal:
        value = unpack(self.store, content)
        match value:
            case Refusal():
                return value
        result = self.store.offer(content.version.revision, value)
        match result:
            case Adopted():
                return True
        self._remember_failed(content.version)
        if not content.version.is_newer_than(wanted):
            self._remember_failed(wanted)
        return False

    def _remember_failed(self, version: Version) -> None:
        self.failed_versions[version] = None
        while len(self.failed_versions) > MAX_FAILED_VERSIONS:
            self.failed_versions.popitem(last=False)

    async def close(self) -> None:
        """Cancel the fetch that is running."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
