"""How large answers left this host: waiting, writing, and their end."""

from typing import Any, Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import LARGE_ANSWERS, LARGE_BYTES, TURN_TIME
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.link_use import KILOBYTE
from tanagerbend_proxy.messages import MILLISECONDS
from tanagerbend_proxy.uplink import Transfer

SENT: Final = 'sent'
LEFT: Final = 'left'


@attrs.define
class Delivery:
    """One large answer on its way to its reader.

    Parameters
    ==========

    identifier : str
        Of the request.
    transfer : Transfer
    size : int
        Bytes of the body.
    begun : float
        Monotonic seconds.
    ahead : float
        Seconds that other answers need on the link at the beginning.
    written : int
        Bytes handed to the connection.
    is_whole : bool
        Whether all bytes were handed over.
    """

    identifier: str
    transfer: Transfer
    size: int
    begun: float
    ahead: float
    written: int = 0
    is_whole: bool = False

    @classmethod
    def begin(cls, identifier: str, transfer: Transfer) -> 'Delivery':
        """Return an answer that begins to leave now."""
        uplink = transfer.uplink
        size = transfer.left
        ahead = uplink.seconds_for(size) - size / uplink.pace
        return cls(identifier, transfer, size, uplink.timer.now(), ahead)


@attrs.frozen
class DeliveryLog:
    """Counts and logs the large answers of one endpoint.

    Parameters
    ==========

    purpose : str
        One of those of `LinkUse`.
    recorder : Recorder
    log : DecisionLog
    """

    purpose: str
    recorder: Recorder
    log: DecisionLog

    def ended(self, delivery: Delivery) -> None:
        """Count an answer that was handed over, or whose reader left."""
        if delivery.is_whole:
            self._count(SENT, delivery)
            self.log.write('answer_sent', **self._describe(delivery))
        else:
            self._count(LEFT, delivery)
            self.log.write('answer_left', **self._describe(delivery))

    def _count(self, end: str, delivery: Delivery) -> None:
        label = f'{self.purpose}_{end}'
        transfer = delivery.transfer
        self.recorder.count(LARGE_ANSWERS, label)
        self.recorder.count(LARGE_BYTES, label, delivery.written)
        self.recorder.histograms.record(
            TURN_TIME,
            self.purpose,
            transfer.rank,
            transfer.waited,
        )

    def _describe(self, delivery: Delivery) -> dict[str, Any]:
        transfer = delivery.transfer
        seconds = self.recorder.timer.now() - delivery.begun
        return {
            'request': delivery.identifier,
            'purpose': self.purpose,
            'rank': transfer.rank,
            'bytes': delivery.size,
            'written': delivery.written,
            'ahead_ms': round(delivery.ahead * MILLISECONDS),
            'turns_ms': round(transfer.waited * MILLISECONDS),
            'all_ms': round(seconds * MILLISECONDS),
            'unused_kb': round(transfer.uplink.unused / KILOBYTE),
        }
