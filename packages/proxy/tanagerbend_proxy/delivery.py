"""Records how large answers were sent: waits, bytes and outcome."""

from typing import Any, Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import LARGE_ANSWERS, LARGE_BYTES, TURN_WAIT_TIME
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.link_use import KILOBYTE
from tanagerbend_proxy.messages import MILLISECONDS
from tanagerbend_proxy.uplink import Transfer

SENT: Final = 'sent'
ABORTED: Final = 'left'


@attrs.define
class Delivery:
    """A large answer that is sent to its reader.

    Parameters
    ==========

    identifier : str
        Identifier of the request.
    transfer : Transfer
    size : int
        Bytes of the body.
    started : float
        Monotonic seconds.
    ahead : float
        Seconds that other answers need on the link at the start.
    written : int
        Bytes written to the connection.
    is_whole : bool
        Whether all bytes were written.
    """

    identifier: str
    transfer: Transfer
    size: int
    started: float
    ahead: float
    written: int = 0
    is_whole: bool = False

    @classmethod
    def begin(cls, identifier: str, transfer: Transfer) -> 'Delivery':
        """Return a delivery that starts now."""
        uplink = transfer.uplink
        size = transfer.left
        ahead = uplink.seconds_for(size) - size / uplink.bytes_per_second
        return cls(identifier, transfer, size, uplink.timer.now(), ahead)


@attrs.frozen
class DeliveryLog:
    """Counts and logs the large answers of one endpoint.

    Parameters
    ==========

    purpose : str
        One of the purposes of `LinkUse`.
    recorder : Recorder
    log : DecisionLog
    """

    purpose: str
    recorder: Recorder
    log: DecisionLog

    def ended(self, delivery: Delivery) -> None:
        """Count and log a delivery that ended.

        An answer that wasn't written whole was given up, or its reader
        disconnected.
        """
        if delivery.is_whole:
            self._record(SENT, delivery)
            self.log.write('answer_sent', **self._describe(delivery))
        else:
            self._record(ABORTED, delivery)
            self.log.write('answer_left', **self._describe(delivery))

    def _record(self, outcome: str, delivery: Delivery) -> None:
        label = f'{self.purpose}_{outcome}'
        transfer = delivery.transfer
        self.recorder.count(LARGE_ANSWERS, label)
        self.recorder.count(LARGE_BYTES, label, delivery.written)
        self.recorder.histograms.record(
            TURN_WAIT_TIME,
            self.purpose,
            transfer.rank,
            transfer.waited,
        )

    def _describe(self, delivery: Delivery) -> dict[str, Any]:
        transfer = delivery.transfer
        seconds = self.recorder.timer.now() - delivery.started
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
