"""Whether an owner may give a request to its instance at all."""

from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.calls import Calls
from tanagerbend_proxy.messages import Placed
from tanagerbend_proxy.repeats import Repeats
from tanagerbend_routing import ColdLimit, InstanceRegistry

DISPLACED_REASON: Final = 'another instance has the address'


@attrs.frozen
class OwnerChecks:
    """Refuses requests that the instance must not get, or not now.

    Parameters
    ==========

    registry : InstanceRegistry
    recorder : Recorder
    cold : ColdLimit
    repeats : Repeats
    calls : Calls
    """

    registry: InstanceRegistry
    recorder: Recorder
    cold: ColdLimit
    repeats: Repeats
    calls: Calls

    def refuse_on_arrival(self, placed: Placed, waiting: int) -> Refusal | None:
        """Refuse a request before it waits for a slot behind ``waiting``."""
        return (
            self._refuse_absent(placed)
            or self.repeats.refuse(placed)
            or self.calls.refuse(placed)
            or self.refuse_cold(placed, waiting)
        )

    def refuse_at_start(self, placed: Placed) -> Refusal | None:
        """Refuse a request whose instance left while it waited."""
        absent = self._refuse_absent(placed)
        if absent is not None or self.registry.takes_work(placed.instance):
            return absent
        reason = 'the instance left while the request waited'
        return Refusal(ResultCode.DRAINING, reason)

    def _refuse_absent(self, placed: Placed) -> Refusal | None:
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
