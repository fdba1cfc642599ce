"""Proxy daemon: forwards requests by a routing configuration."""

from tanagerbend_proxy.assembly import Components, assemble
from tanagerbend_proxy.changes import (
    Batch,
    HistoryUnavailable,
    Item,
    Removed,
    Unreadable,
)
from tanagerbend_proxy.daemon_settings import (
    DaemonSettings,
    ListenAddresses,
    StopSettings,
)
from tanagerbend_proxy.following import ItemService
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.positions import StorePosition
from tanagerbend_proxy.service import ProxyService
from tanagerbend_proxy.start_rules import StartQuestion

__all__ = (
    'Batch',
    'Components',
    'DaemonSettings',
    'HeaderNames',
    'HistoryUnavailable',
    'Item',
    'ItemService',
    'ListenAddresses',
    'ProxyService',
    'Removed',
    'StartQuestion',
    'StopSettings',
    'StorePosition',
    'Unreadable',
    'assemble',
)
