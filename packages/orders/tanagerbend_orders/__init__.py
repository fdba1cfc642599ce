"""Order keys and the ledger that makes each order run at most once."""

from tanagerbend_orders.keys import OrderKey, OrderKeyIssuer
from tanagerbend_orders.ledger import (
    DuplicateOrder,
    Ledger,
    LedgerLimits,
    NewOrder,
)
from tanagerbend_orders.record import (
    OrderRecord,
    OrderRefusal,
    OrderState,
    RecordedAnswer,
    request_digest,
)

__all__ = (
    'DuplicateOrder',
    'Ledger',
    'LedgerLimits',
    'NewOrder',
    'OrderKey',
    'OrderKeyIssuer',
    'OrderRecord',
    'OrderRefusal',
    'OrderState',
    'RecordedAnswer',
    'request_digest',
)
