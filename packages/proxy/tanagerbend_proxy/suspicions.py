"""Requests that a daemon suspects or convicts of crashing instances."""

from collections.abc import Callable

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.case_messages import decode_cases, encode_cases
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.messages import Request
from tanagerbend_quarantine import Case, Cases, Crash, Verdict, fingerprint


def send_nothing(_fingerprints: list[bytes]) -> None:
    """Default for `Suspicions.spread`: sends nothing."""


class Suspicions:
    """Maps requests of callers and peers to the cases of a daemon.

    Parameters
    ==========

    cases : Cases
    caller_header : str
        Name of the header with the service of the caller.
    log : DecisionLog

    Attributes
    ==========

    spread : callable
        Sends the cases of fingerprints to the other daemons.
    """

    def __init__(
        self,
        cases: Cases,
        caller_header: str,
        log: DecisionLog,
    ) -> None:
        self.cases = cases
        self.caller_header = caller_header
        self.log = log
        self.spread: Callable[[list[bytes]], None] = send_nothing
        cases.on_convicted = self.log_conviction
        cases.on_conviction_ended = self.log_acquittal

    def request_fingerprint(self, request: Request) -> bytes:
        """Return the fingerprint, equal for all repeats of a request."""
        return fingerprint(
            # Normalised as for routing; the caller's spelling may differ.
            request.host.partition(':')[0].lower(),
            request.method,
            request.path,
            request.body,
            request.headers.get(self.caller_header, ''),
        )

    def refuse(self, request: Request) -> Refusal | None:
        """Return a refusal for a convicted request, else None."""
        if not self.cases.convicted:
            return None
        key = self.request_fingerprint(request)
        if self.cases.verdict(key) is not Verdict.CONVICTED:
            return None
        return conviction_refusal(key, self.cases.case(key))

    def evidence(self, request: Request) -> str:
        """Return the encoded case of a request, empty if it is clear."""
        if self.cases.is_empty:
            return ''
        key = self.request_fingerprint(request)
        if self.cases.verdict(key) is Verdict.CLEAR:
            return ''
        return encode_cases(self.cases.cases_to_send((key,)))

    def merge_evidence(self, evidence: str) -> None:
        """Merge the evidence that another daemon sent about a request."""
        told = decode_cases(evidence)
        match told:
            case Refusal(reason=reason):
                self.log.write('crashes_unreadable', reason=reason)
                return
        self.cases.merge_received(told)

    def succeeded(self, request: Request) -> None:
        """Record that an instance answered a request."""
        if not self.cases.is_empty:
            self.cases.record_success(self.request_fingerprint(request))

    def spread_case(self, request: Request) -> None:
        """Send the case to the other daemons unless the request is clear."""
        key = self.request_fingerprint(request)
        if self.cases.verdict(key) is not Verdict.CLEAR:
            self.spread([key])

    def log_conviction(self, key: bytes, case: Case) -> None:
        """Log the crashes that convicted a request."""
        self.log.write(
            'request_convicted',
            fingerprint=key.hex(),
            crashes=crash_rows(case),
        )

    def log_acquittal(self, key: bytes, case: Case) -> None:
        """Log that a request may run again, and inform other daemons."""
        self.log.write(
            'request_acquitted',
            fingerprint=key.hex(),
            crashes=crash_rows(case),
        )
        self.spread([key])


def crash_rows(case: Case) -> list[list[object]]:
    """Return the counted crashes, oldest first: instance, time, is alone."""
    return [
        [crash.instance, round(crash.at, 3), crash.is_alone]
        for crash in sorted(case.counted, key=_crash_time)
    ]


def conviction_refusal(key: bytes, case: Case) -> Refusal:
    """Return the refusal of a convicted request."""
    ordered = sorted(case.counted, key=_crash_time)
    instances = ', '.join(crash.instance for crash in ordered)
    reason = f'request {key.hex()} ended the instances {instances}'
    return Refusal(ResultCode.REQUEST_CRASHES_BACKEND, reason)


def _crash_time(crash: Crash) -> float:
    return crash.at
