"""Reads and watches of the configuration service and the host list."""

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

MIN_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 30.0
ROLE_CHECK_SECONDS: Final = 1.0
MIN_WAIT_SHARE: Final = 0.5
# Lower bound of the random poll interval, as a share of the longest one;
# daemons that start together poll at different times.
MIN_POLL_SHARE: Final = 0.5


@attrs.frozen
class ReadTimes:
    """Timing of reads, in seconds.

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
class RevisionTracker:
    """Latest and highest revision seen of one key."""

    revision: int = 0
    highest: int = 0

    def observe(self, revision: int) -> bool:
        """Record a revision; return whether it is a new highest one."""
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
    wait_until_ready : callable
        Awaited before each check of the reader role.
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
        wait_until_ready: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.service = service
        self.host_list = host_list
        self.sheet_key = sheet_key
        self.watch_seconds = times.watch
        self.poll_seconds = times.poll
        self.budget = budget
        self.store = store
        self.roster = roster
        self.random = random
        self.recorder = recorder
        self.timer = recorder.timer
        self.wait_until_ready = wait_until_ready or _return_at_once
        self.sheet_revisions = RevisionTracker()
        self.host_list_revisions = RevisionTracker()
        self.last_read: float | None = None
        self.was_reader = False
        self.is_available = True

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads for its failure domain."""
        return self.roster.is_reader

    async def _check_role(self) -> bool:
        # After a pause other members may have taken over the role.
        await self.wait_until_ready()
        is_reader = self.is_reader
        if is_reader != self.was_reader:
            event = 'reader_role_taken' if is_reader else 'reader_role_left'
            self.recorder.record_event(event, self.roster.own.failure_domain)
        self.was_reader = is_reader
        return is_reader

    async def watch_sheet(self) -> None:
        """Watch the sheet whenever this daemon is a reader, until cancelled."""
        backoff = self._make_backoff()
        while True:
            if not await self._check_role():
                await self.timer.sleep(ROLE_CHECK_SECONDS)
                continue
            await self._back_off_unless(
                await self.read_sheet(self.watch_seconds), backoff
            )

    async def watch_host_list(self) -> None:
        """Watch the host list as a reader; poll it at intervals otherwise."""
        backoff = self._make_backoff()
        next_poll = self._next_poll()
        while True:
            await self.wait_until_ready()
            if self.is_reader:
                is_read = await self.read_hosts(self.watch_seconds)
            elif self.timer.now() >= next_poll:
                is_read = await self.read_hosts()
            else:
                await self.timer.sleep(ROLE_CHECK_SECONDS)
                continue
            next_poll = self._next_poll()
            await self._back_off_unless(is_read, backoff)

    def _next_poll(self) -> float:
        return self.timer.now() + self.random.uniform(
            MIN_POLL_SHARE * self.poll_seconds,
            self.poll_seconds,
        )

    def _make_backoff(self) -> Backoff:
        return Backoff(
            self.random,
            MIN_BACKOFF_SECONDS,
            MAX_BACKOFF_SECONDS,
        )

    async def _back_off_unless(self, is_read: bool, backoff: Backoff) -> None:
        if is_read:
            backoff.reset()
        else:
            await self.timer.sleep(backoff.next_delay())

    async def _acquire_call(self, label: str) -> float:
        self.budget.observe_fleet_size(len(self.roster.members))
        await self.budget.acquire()
        self.recorder.count('service_calls', label)
        return self.timer.now()

    async def read_sheet(self, wait: float = 0.0) -> bool:
        """Read or watch the sheet once.

        Returns False if the next read should back off: after a refusal,
        an answer for another key, a value that is not new, or a watch
        that ended early.  ``wait`` is in seconds; 0 reads without waiting.
        """
        start = await self._acquire_call('sheet')
        if wait:
            answer = await self.service.watch(
                self.sheet_key,
                self.sheet_revisions.revision,
                wait,
            )
        else:
            answer = await self.service.read(self.sheet_key)
        if not self._record_availability(answer):
            return False
        match answer:
            case Published():
                return self._offer_sheet(answer)
        return self._has_waited_enough(start, wait)

    def _offer_sheet(self, published: Published) -> bool:
        if published.key != self.sheet_key:
            self.recorder.count('service_answers_crossed')
            return False
        is_new = self.sheet_revisions.observe(published.revision)
        result = self.store.offer(published.revision, published.content)
        return is_new or isinstance(result, Adopted)

    async def read_hosts(self, wait: float = 0.0) -> bool:
        """Read or watch the host list once, as ``read_sheet`` does."""
        start = await self._acquire_call('host_list')
        if wait:
            answer = await self.host_list.watch(
                self.host_list_revisions.revision,
                wait,
            )
        else:
            answer = await self.host_list.read()
        if not self._record_availability(answer):
            return False
        match answer:
            case HostListing(revision=revision):
                is_new = self.host_list_revisions.observe(revision)
                self.roster.observe_host_list(answer)
                return is_new or not wait
        return self._has_waited_enough(start, wait)

    def _has_waited_enough(self, start: float, wait: float) -> bool:
        # Without this check, a service that answers watches at once with
        # nothing new would be called at the full rate of the budget.
        waited = self.timer.now() - start
        return waited >= MIN_WAIT_SHARE * wait

    def _record_availability(self, answer: object) -> bool:
        is_available = not isinstance(answer, Refusal)
        if is_available:
            self.last_read = self.timer.now()
        if is_available != self.is_available:
            event = 'service_available' if is_available else 'service_lost'
            reason = '' if is_available else answer.reason
            self.recorder.record_event(event, self.sheet_key, reason)
        self.is_available = is_available
        return is_available


async def _return_at_once() -> None:
    """Return at once: no check to wait for."""
