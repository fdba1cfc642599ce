"""Fingerprints of requests that crash backend servers."""

from tanagerbend_quarantine.fingerprint import fingerprint
from tanagerbend_quarantine.gate import SoloGate
from tanagerbend_quarantine.quarantine import Notice, Quarantine, Verdict

__all__ = ('Notice', 'Quarantine', 'SoloGate', 'Verdict', 'fingerprint')
