"""Proxy daemon: forwards requests by a routing configuration."""

from tanagerbend_proxy.assembly import Parts, assemble
from tanagerbend_proxy.changes import (
    Batch,
    HistoryGone,
    Item,
    Removed,
    Unreadable,
)
from tanagerbend_proxy.following import ItemService
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.service import ProxyService
from tanagerbend_proxy.terms import Listening, StopTerms, Terms

__all__ = (
    'Batch',
    'HeaderNames',
    'HistoryGone',
    'Item',
    'ItemService',
    'Listening',
    'Parts',
    'ProxyService',
    'Removed',
    'StopTerms',
    'Terms',
    'Unreadable',
    'assemble',
)
