"""Counts orders that reach the backend server more than once."""

from collections import OrderedDict
from typing import Final

import attrs

from tanagerbend_interfaces import (
    BackendRequest,
    BackendResponse,
    BackendServer,
)
from tanagerbend_metrics import Event, Recorder
from tanagerbend_metrics.names import ORDERS_STARTED_AGAIN
from tanagerbend_model import Ran, Refusal, headers
from tanagerbend_orders import OrderKey, OrderKeyIssuer

# About an hour at 6 orders a second; one nonce takes some 150 bytes.
MAX_NONCES: Final = 20_000


@attrs.define
class RepeatedOrderCounter:
    """Counts repeated orders as the last step before the backend server.

    Explanation
    ===========

    The ledger already prevents an order from being sent twice.  This
    class shares no state with it, so that the counter is an independent
    check of that rule.

    Parameters
    ==========

    backend : BackendServer
    issuer : OrderKeyIssuer
    recorder : Recorder
    """

    backend: BackendServer
    issuer: OrderKeyIssuer
    recorder: Recorder
    sent_nonces: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    async def exchange(
        self,
        request: BackendRequest,
        deadline: float,
    ) -> BackendResponse | Refusal:
        """Send a request; ``deadline`` in monotonic seconds."""
        nonce = self._nonce(request)
        if nonce:
            self._count(nonce)
        response = await self.backend.exchange(request, deadline)
        match response:
            case Refusal(ran=Ran.NO):
                # The order did not reach the backend server.
                self.sent_nonces.pop(nonce, None)
        return response

    def _nonce(self, request: BackendRequest) -> str:
        header_name = headers.ORDER_KEY.lower()
        tokens = (
            text
            for name, text in request.headers
            if name.lower() == header_name
        )
        key = self.issuer.read(next(tokens, ''))
        return key.nonce if isinstance(key, OrderKey) else ''

    def _count(self, nonce: str) -> None:
        if nonce in self.sent_nonces:
            self.recorder.count(ORDERS_STARTED_AGAIN)
            self.recorder.record_event(Event.ORDER_STARTED_AGAIN, nonce)
        self.sent_nonces[nonce] = None
        if len(self.sent_nonces) > MAX_NONCES:
            self.sent_nonces.popitem(last=False)
