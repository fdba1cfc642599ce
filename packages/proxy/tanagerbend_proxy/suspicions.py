"""Which requests one daemon takes to end instances."""

from collections.abc import Callable

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.crash_messages import decode_told, encode_told
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.messages import Request
from tanagerbend_quarantine import Case, Cases, Crash, Verdict, fingerprint


def tell_nobody(_names: list[bytes]) -> None:
    """Keep what is news to this daemon."""


class Suspicions:
    """Cases of a daemon, by the requests of its callers and its peers.

    Parameters
    ==========

    cases : Cases
    caller_header : str
        Name of the header with the service of the caller.
    log : DecisionLog

    Attributes
    ==========

    spread : callable
        Tells the other daemons about fingerprints.
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
        self.spread: Callable[[list[bytes]], None] = tell_nobody
        cases.on_convicted = self.convicted
        cases.on_acquitted = self.acquitted

    def name(self, request: Request) -> bytes:
        """Return what all sendings of a request have in common."""
        return fingerprint(
            # As the route is chosen; peers see what the caller wrote.
            request.host.partition(':')[0].lower(),
            request.method,
            request.path,
            request.body,
            request.headers.get(self.caller_header, ''),
        )

    def refuse(self, request: Request) -> Refusal | None:
        """Refuse a request that ends instances, None if it may run."""
        if not self.cases.convicts:
            return None
        name = self.name(request)
        if self.cases.verdict(name) is not Verdict.CONVICTED:
            return None
        return convicted(name, self.cases.case(name))

    def evidence(self, request: Request) -> str:
        """Return what another daemon has to know before it runs this."""
        if self.cases.is_empty:
            return ''
        name = self.name(request)
        if self.cases.verdict(name) is Verdict.CLEAR:
            return ''
        return encode_told(self.cases.told((name,)))

    def take(self, evidence: str) -> None:
        """Take what another daemon says of one request."""
        told = decode_told(evidence)
        match told:
            case Refusal(reason=reason):
                self.log.write('crashes_unreadable', reason=reason)
                return
        self.cases.join(told)

    def succeeded(self, request: Request) -> None:
        """Note that an instance answered a request."""
        if not self.cases.is_empty:
            self.cases.succeeded(self.name(request))

    def pass_on(self, request: Request) -> None:
        """Tell the other daemons, unless the request is clear by now."""
        name = self.name(request)
        if self.cases.verdict(name) is not Verdict.CLEAR:
            self.spread([name])

    def convicted(self, name: bytes, case: Case) -> None:
        """Write what convicted a request."""
        self.log.write(
            'request_convicted',
            fingerprint=name.hex(),
            crashes=listed(case),
        )

    def acquitted(self, name: bytes, case: Case) -> None:
        """Write that a request may run again, and tell the others."""
        self.log.write(
            'request_acquitted',
            fingerprint=name.hex(),
            crashes=listed(case),
        )
        self.spread([name])


def listed(case: Case) -> list[list[object]]:
    """Return the crashes that count, oldest first: instance, time, alone."""
    return [
        [crash.instance, round(crash.at, 3), crash.is_alone]
        for crash in sorted(case.counted, key=_time_of)
    ]


def convicted(name: bytes, case: Case) -> Refusal:
    """Return the refusal of a request that ends instances."""
    ordered = sorted(case.counted, key=_time_of)
    instances = ', '.join(crash.instance for crash in ordered)
    reason = f'request {name.hex()} ended the instances {instances}'
    return Refusal(ResultCode.REQUEST_CRASHES_BACKEND, reason)


def _time_of(crash: Crash) -> float:
    return crash.at
