"""Reading of the configuration service and the host list."""

from typing import Final

from tanagerbend_distribution.budget import Backoff, CallBudget
from tanagerbend_distribution.store import VersionStore
from tanagerbend_interfaces import (
    ConfigurationService,
    HostList,
    HostListing,
    Published,
    Randomness,
)
from tanagerbend_membership import Roster, readers
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal

SHORTEST_BACKOFF_SECONDS: Final = 0.5
LONGEST_BACKOFF_SECONDS: Final = 30.0
ROLE_CHECK_SECONDS: Final = 1.0


class PlatformReader:
    """Watches the sheet and the host list while this daemon is a reader.

    Parameters
    ==========

    service : ConfigurationService
    host_list : HostList
    sheet_key : str
    wait : float
        Longest wait of one watch in seconds.
    budget : CallBudget
    store : VersionStore
    roster : Roster
    random : Randomness
    recorder : Recorder
    """

    def __init__(
        self,
        service: ConfigurationService,
        host_list: HostList,
        sheet_key: str,
        wait: float,
        budget: CallBudget,
        store: VersionStore,
        roster: Roster,
        random: Randomness,
        recorder: Recorder,
    ) -> None:
        self.service = service
        self.host_list = host_list
        self.sheet_key = sheet_key
        self.wait = wait
        self.budget = budget
        self.store = store
        self.roster = roster
        self.random = random
        self.recorder = recorder
        self.timer = recorder.timer
        self.sheet_revision = 0
        self.list_revision = 0
        self.last_read: float | None = None
        self.was_reader = False
        self.is_available = True

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads for its failure domain."""
        own = self.roster.own
        return own.host in readers(
            self.roster.members.values(),
            own.failure_domain,
        )

    def _check_role(self) -> bool:
        is_reader = self.is_reader
        if is_reader != self.was_reader:
            event = 'reader_role_taken' if is_reader else 'reader_role_left'
            self.recorder.note(event, self.roster.own.failure_domain)
        self.was_reader = is_reader
        return is_reader

    async def watch_sheet(self) -> None:
        """Watch the sheet for ever."""
        backoff = self._backoff()
        while True:
            if not self._check_role():
                await self.timer.sleep(ROLE_CHECK_SECONDS)
                continue
            await self._pause_after(await self.read_sheet(self.wait), backoff)

    async def watch_host_list(self) -> None:
        """Watch the host list for ever."""
        backoff = self._backoff()
        while True:
            if not self.is_reader:
                await self.timer.sleep(ROLE_CHECK_SECONDS)
                continue
            await self._pause_after(await self.read_hosts(self.wait), backoff)

    def _backoff(self) -> Backoff:
        return Backoff(
            self.random,
            SHORTEST_BACKOFF_SECONDS,
            LONGEST_BACKOFF_SECONDS,
        )

    async def _pause_after(self, is_read: bool, backoff: Backoff) -> None:
        if is_read:
            backoff.reset()
        else:
            await self.timer.sleep(backoff.next_delay())

    async def read_sheet(self, wait: float = 0.0) -> bool:
        """Read or watch the sheet once; return whether that succeeded.

        ``wait`` is in seconds; 0 reads without waiting.
        """
        await self.budget.acquire()
        self.recorder.count('service_calls', 'sheet')
        if wait:
            answer = await self.service.watch(
                self.sheet_key,
                self.sheet_revision,
                wait,
            )
        else:
            answer = await self.service.read(self.sheet_key)
        match answer:
            case Published(revision=revision, content=content):
                self.sheet_revision = revision
                self.store.offer(revision, content)
        return self._note_availability(answer)

    async def read_hosts(self, wait: float = 0.0) -> bool:
        """Read or watch the host list once."""
        await self.budget.acquire()
        self.recorder.count('service_calls', 'host_list')
        if wait:
            answer = await self.host_list.watch(self.list_revision, wait)
        else:
            answer = await self.host_list.read()
        match answer:
            case HostListing(revision=revision):
                self.list_revision = revision
                self.roster.observe_host_list(answer)
        return self._note_availability(answer)

    def _note_availability(self, answer: object) -> bool:
        is_available = not isinstance(answer, Refusal)
        if is_available:
            self.last_read = self.timer.now()
        if is_available != self.is_available:
            event = 'service_available' if is_available else 'service_lost'
            reason = '' if is_available else answer.reason
            self.recorder.note(event, self.sheet_key, reason)
        self.is_available = is_available
        return is_available
