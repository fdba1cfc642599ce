"""Whether a request may start at the instance on this host now."""

from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.messages import Placed
from tanagerbend_routing import ColdLimit, InstanceRegistry

DISPLACED_REASON: Final = 'another instance has the address'
DEPARTED_REASON: Final = 'the instance left while the request waited'


@attrs.define
class StartRules:
    """Refuses requests that may not start at their instance.

    Parameters
    ==========

    registry : InstanceRegistry
    recorder : Recorder
    cold : ColdLimit
        Limits the requests to the instance while it is cold.
    """

    registry: InstanceRegistry
    recorder: Recorder
    cold: ColdLimit

    def refuse_absent(self, placed: Placed) -> Refusal | None:
        """Refuse a request for an instance that may get none at all.

        The instance has lost its address, or its failure domain is evacuated.
        """
        if self.registry.is_displaced(placed.instance):
            return Refusal(ResultCode.NO_INSTANCE, DISPLACED_REASON)
        if not self.registry.refuses_evacuated(placed.instance):
            return None
        self.recorder.count('requests_refused_evacuated')
        reason = 'the failure domain of the instance is evacuated'
        return Refusal(ResultCode.DRAINING, reason)

    def refuse_departed(self, placed: Placed) -> Refusal | None:
        """Refuse a request whose instance left, or may get none at all.

        It may still start in the grace period after the news.
        """
        absent = self.refuse_absent(placed)
        if absent is not None or self.registry.takes_work(placed.instance):
            return absent
        return Refusal(ResultCode.DRAINING, DEPARTED_REASON)

    def refuse_wait(self, placed: Placed) -> Refusal | None:
        """Refuse a request that has to wait for the end of other requests.

        The wait may outlast the grace period, so there is none for it.
        """
        absent = self.refuse_absent(placed)
        if absent is not None or not self._has_left(placed.instance):
            return absent
        return Refusal(ResultCode.DRAINING, DEPARTED_REASON)

    def _has_left(self, identity: str) -> bool:
        entry = self.registry.entries.get(identity)
        is_leaving = entry is not None and entry.instance.is_leaving
        return is_leaving or identity in self.registry.departed_at

    def refuse_cold(self, placed: Placed, ahead: int) -> Refusal | None:
        """Refuse a request that a cold instance doesn't tolerate now.

        ``ahead`` is the number of requests that start before it.
        """
        entry = self.registry.entries.get(placed.instance)
        is_cold = (
            self.cold.applies_unlisted(placed.instance)
            if entry is None
            else self.cold.applies(entry.instance)
        )
        if not is_cold or self.cold.has_room(ahead):
            return None
        self.recorder.count('requests_refused_cold')
        reason = (
            'the instance is cold,'
            f' {self.cold.available():.1f} requests may start now'
            f' and {ahead} wait'
        )
        return Refusal(ResultCode.QUEUE_FULL, reason)


@attrs.define
class StartQuestion:
    """Whether one request may start, asked directly before it is sent.

    Explanation
    ===========

    A request waits for a slot, for other requests to end and for a
    connection.  What is known of its instance may change in each wait, so
    the answer counts that is given once nothing is left to wait for.

    Parameters
    ==========

    rules : StartRules
    placed : Placed
    refusal : Refusal or None
        The last one that was given.
    """

    rules: StartRules
    placed: Placed
    refusal: Refusal | None = None

    def ask(self) -> Refusal | None:
        """Return why the request may not be sent now, None if it may."""
        self.refusal = self.rules.refuse_departed(self.placed)
        return self.refusal

    def ask_waiting(self) -> Refusal | None:
        """Return why it may not wait for other requests, None if it may."""
        self.refusal = self.rules.refuse_wait(self.placed)
        return self.refusal
