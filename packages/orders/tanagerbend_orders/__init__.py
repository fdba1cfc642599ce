"""Order keys and the ledger that makes each order run at most once."""

from tanagerbend_orders.keys import OrderKey, PermitIssuer
from tanagerbend_orders.ledger import Begin, Ledger, LedgerLimits, Repeat
from tanagerbend_orders.record import (
    OrderRefusal,
    Record,
    Recorded,
    State,
    request_digest,
)

__all__ = (
    'Begin',
    'Ledger',
    'LedgerLimits',
    'OrderKey',
    'OrderRefusal',
    'PermitIssuer',
    'Record',
    'Recorded',
    'Repeat',
    'State',
    'request_digest',
)
