"""Detection and quarantine of requests that crash backend servers."""

from tanagerbend_quarantine.case import Case, Crash, Told, Verdict
from tanagerbend_quarantine.cases import Cases
from tanagerbend_quarantine.fingerprint import fingerprint
from tanagerbend_quarantine.flights import Flight, Flights
from tanagerbend_quarantine.gate import Company, SoloGate
from tanagerbend_quarantine.quarantine import Notice, Quarantine

__all__ = (
    'Case',
    'Cases',
    'Company',
    'Crash',
    'Flight',
    'Flights',
    'Notice',
    'Quarantine',
    'SoloGate',
    'Told',
    'Verdict',
    'fingerprint',
)
