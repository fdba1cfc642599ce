"""Detection and quarantine of requests that crash backend servers."""

from tanagerbend_quarantine.abandoned import (
    AbandonedWatch,
    InstanceProcess,
    ProcessState,
)
from tanagerbend_quarantine.case import Case, Crash, SharedCase, Verdict
from tanagerbend_quarantine.cases import Cases
from tanagerbend_quarantine.fingerprint import fingerprint
from tanagerbend_quarantine.flights import InFlightRequest, InFlightRequests
from tanagerbend_quarantine.gate import Isolation, IsolationGate
from tanagerbend_quarantine.quarantine import Notice, Quarantine

__all__ = (
    'AbandonedWatch',
    'Case',
    'Cases',
    'Crash',
    'InFlightRequest',
    'InFlightRequests',
    'InstanceProcess',
    'Isolation',
    'IsolationGate',
    'Notice',
    'ProcessState',
    'Quarantine',
    'SharedCase',
    'Verdict',
    'fingerprint',
)
