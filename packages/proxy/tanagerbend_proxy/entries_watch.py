"""Reads the entries of instances while a large answer arrives."""

from typing import Protocol

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal
from tanagerbend_proxy.applying import Applier
from tanagerbend_proxy.attempts import Attempts
from tanagerbend_proxy.changes import Batch, HistoryUnavailable
from tanagerbend_proxy.following_limits import (
    ANSWER_SECONDS,
    HEDGE_DELAY_SECONDS,
    MIN_SECONDS,
    READER_WATCH_SECONDS,
)
from tanagerbend_proxy.link_use import SERVICE
from tanagerbend_proxy.positions import StorePosition
from tanagerbend_proxy.staleness import Staleness


class EntryService(Protocol):
    """Read-only client of the entries of instances."""

    async def instance_changes(
        self,
        after: StorePosition,
        wait: float,
        limit: float,
    ) -> Batch | HistoryUnavailable | Refusal:
        """Return the changes of instances after a position.

        Waits until there is one; times are in seconds.
        """


class EntriesWatch:
    """Watches the entries of instances while a large answer arrives.

    Explanation
    ===========

    A version of the configuration takes a slow link about a second.  The
    entry of an instance that leaves is small, so it is read by a call of its
    own that shares the link with the version.

    Parameters
    ==========

    service : EntryService
    applier : Applier
    staleness : Staleness
    recorder : Recorder
    """

    def __init__(
        self,
        service: EntryService,
        applier: Applier,
        staleness: Staleness,
        recorder: Recorder,
    ) -> None:
        self.service = service
        self.applier = applier
        self.staleness = staleness
        self.recorder = recorder
        self.is_arriving = False
        self.attempts: Attempts[Batch | HistoryUnavailable | None] = Attempts()

    def begin(self) -> None:
        """Start to watch soon, since an answer has begun to arrive."""
        # Before the first listing nothing is known that could change.
        if self.applier.position is not None:
            self.is_arriving = True
            if not self.attempts.running:
                self.attempts.start(self._watch_safely())

    def end(self) -> None:
        """Stop after the present call, since the answer has arrived."""
        self.is_arriving = False

    async def close(self) -> None:
        """Cancel the present call."""
        await self.attempts.close()

    async def _watch_safely(
        self,
    ) -> Batch | HistoryUnavailable | Refusal | None:
        """Watch; log an unexpected exception.

        Changes that are applied only in part are read again by the next call,
        as their position is not reached.
        """
        try:
            return await self._watch()
        except Exception as error:  # noqa: BLE001
            self.staleness.write_unexpected(error)
        return None

    async def _watch(self) -> Batch | HistoryUnavailable | Refusal | None:
        """Watch until the answer has arrived, or a call fails."""
        await self.recorder.timer.sleep(HEDGE_DELAY_SECONDS)
        # The first call returns at once, since the last contact was before
        # the answer that arrives.
        wait = MIN_SECONDS
        while self.is_arriving:
            found = await self.service.instance_changes(
                self.applier.entries_position, wait, wait + ANSWER_SECONDS
            )
            wait = READER_WATCH_SECONDS
            match found:
                case Batch():
                    self._apply(found)
                case Refusal(reason=reason):
                    self.staleness.write('service_failed', reason=reason)
                    return found
                case _:
                    return found
        return None

    def _apply(self, batch: Batch) -> None:
        self.recorder.count('entries_read_apart')
        self.staleness.link.received(SERVICE, batch.size)
        with self.staleness.arriving('', batch, batch.seconds):
            self.staleness.record_entries_contact(batch.seconds)
            self.staleness.knowledge.mark_service_available()
            self.applier.apply(batch)
