"""Reading of the configuration service and the host list."""

from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from tanagerbend_distribution.budget import Backoff, CallBudget
from tanagerbend_distribution.store import Adopted, VersionStore
from tanagerbend_interfaces import (
    ConfigurationService,
    HostList,
    HostListing,
    Published,
    Randomness,
)
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal

SHORTEST_BACKOFF_SECONDS: Final = 0.5
LONGEST_BACKOFF_SECONDS: Final = 30.0
ROLE_CHECK_SECONDS: Final = 1.0
SHORTEST_WAIT_SHARE: Final = 0.5
# Daemons that started together poll at different times.
POLL_SPREAD: Final = 0.5


@attrs.frozen
class ReadTimes:
    """Times of reading, in seconds.

    Parameters
    ==========

    watch : float
        Longest wait of one watch.
    poll : float
        Longest time between two reads of the host list by a daemon that
        is not a reader.
    """

    watch: float
    poll: float


@attrs.define
class Watched:
    """Revisions of one key, the latest answered and the highest ever."""

    revision: int = 0
    highest: int = 0

    def observe(self, revision: int) -> bool:
        """Note an answer; return whether its revision is a new one."""
        is_new = revision > self.highest
        self.highest = max(self.highest, revision)
        self.revision = revision
        return is_new


class PlatformReader:
    """Watches the sheet and the host list while this daemon is a reader.

    Parameters
    ==========

    service : ConfigurationService
    host_list : HostList
    sheet_key : str
    times : ReadTimes
    budget : CallBudget
    store : VersionStore
    roster : Roster
    random : Randomness
    recorder : Recorder
    ready : callable
        Awaited before the role is looked at.
    """

    def __init__(
        self,
        service: ConfigurationService,
        host_list: HostList,
        sheet_key: str,
        times: ReadTimes,
        budget: CallBudget,
        store: VersionStore,
        roster: Roster,
        random: Randomness,
        recorder: Recorder,
        ready: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.service = service
        self.host_list = host_list
        self.sheet_key = sheet_key
        self.wait = times.watch
        self.poll = times.poll
        self.budget = budget
        self.store = store
        self.roster = roster
        self.random = random
        self.recorder = recorder
        self.timer = recorder.timer
        self.ready = ready or _always_ready
        self.sheet = Watched()
        self.listing = Watched()
        self.last_read: float | None = None
        self.was_reader = False
        self.is_available = True

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads for its failure domain."""
        return self.roster.is_reader

    async def _check_role(self) -> bool:
        # After a pause others may have taken the role over.
        await self.ready()
        is_reader = self.is_reader
        if is_reader != self.was_reader:
            event = 'reader_role_taken' if is_reader else 'reader_role_left'
            self.recorder.note(event, self.roster.own.failure_domain)
        self.was_reader = is_reader
        return is_reader

    async def watch_sheet(self) -> None:
        """Watch the sheet for ever, while this daemon is a reader."""
        backoff = self._backoff()
        while True:
            if not await self._check_role():
                await self.timer.sleep(ROLE_CHECK_SECONDS)
                continue
            await self._pause_after(await self.read_sheet(self.wait), backoff)

    async def watch_host_list(self) -> None:
        """Watch the host list as a reader, poll it rarely otherwise."""
        backoff = self._backoff()
        next_poll = self._next_poll()
        while True:
            await self.ready()
            if self.is_reader:
                is_read = await self.read_hosts(self.wait)
            elif self.timer.now() >= next_poll:
                is_read = await self.read_hosts()
            else:
                await self.timer.sleep(ROLE_CHECK_SECONDS)
                continue
            next_poll = self._next_poll()
            await self._pause_after(is_read, backoff)

    def _next_poll(self) -> float:
        return self.timer.now() + self.random.uniform(
            POLL_SPREAD * self.poll,
            self.poll,
        )

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

    async def _acquire(self, label: str) -> float:
        self.budget.observe_fleet_size(len(self.roster.members))
        await self.budget.acquire()
        self.recorder.count('service_calls', label)
        return self.timer.now()

    async def read_sheet(self, wait: float = 0.0) -> bool:
        """Read or watch the sheet once; return whether that was of use.

        ``wait`` is in seconds; 0 reads without waiting.
        """
        started = await self._acquire('sheet')
        if wait:
            answer = await self.service.watch(
                self.sheet_key,
                self.sheet.revision,
                wait,
            )
        else:
            answer = await self.service.read(self.sheet_key)
        if not self._note_availability(answer):
            return False
        match answer:
            case Published():
                return self._take_sheet(answer)
        return self._has_waited(started, wait)

    def _take_sheet(self, published: Published) -> bool:
        if published.key != self.sheet_key:
            self.recorder.count('service_answers_crossed')
            return False
        is_new = self.sheet.observe(published.revision)
        verdict = self.store.offer(published.revision, published.content)
        return is_new or isinstance(verdict, Adopted)

    async def read_hosts(self, wait: float = 0.0) -> bool:
        """Read or watch the host list once."""
        started = await self._acquire('host_list')
        if wait:
            answer = await self.host_list.watch(
                self.listing.revision,
                wait,
            )
        else:
            answer = await self.host_list.read()
        if not self._note_availability(answer):
            return False
        match answer:
            case HostListing(revision=revision):
                is_new = self.listing.observe(revision)
                self.roster.observe_host_list(answer)
                return is_new or not wait
        return self._has_waited(started, wait)

    def _has_waited(self, started: float, wait: float) -> bool:
        # A service that answers a watch at once, with nothing new, would
        # otherwise be asked again at the full rate of the budget.
        waited = self.timer.now() - started
        return waited >= SHORTEST_WAIT_SHARE * wait

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


async def _always_ready() -> None:
    """Stand for a check that has nothing to wait for."""
