"""Spreads crash cases, the evidence against requests, between daemons.

A request that crashes instances may be repeated at any host.  Every daemon
that may send or run it has to know of it within seconds, also with thousands
of hosts; a daemon that was partitioned or has just started has to catch up
soon after.

Hosts form a ring ordered by address.  A daemon with new evidence sends it to
the hosts at the offsets 1, 2, 4, 8, ... in the ring, so that it reaches all
hosts in a number of steps logarithmic in their number, over as many
independent paths.  At intervals a daemon that has cases compares them with
one of these hosts (anti-entropy).
"""

import asyncio
import bisect
import contextlib
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import aiohttp
import attrs
from multidict import CIMultiDict

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy import headers as own_headers
from tanagerbend_proxy.case_messages import CaseMessage
from tanagerbend_proxy.daemon_settings import DaemonSettings
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.exchange import Outgoing, send
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.messages import Answer
from tanagerbend_proxy.suspicions import Suspicions
from tanagerbend_quarantine import Cases, SharedCase, Verdict
from tanagerbend_quarantine.cases import WARM_UP_SECONDS
from tanagerbend_routing import InstanceRegistry

# Delays that collect cases into one message.  Cases of a single crash wait
# longer, as most such requests succeed elsewhere in the meantime.
URGENT_DELAY_SECONDS: Final = 0.01
COALESCE_SECONDS: Final = 0.2
URGENT_CRASHES: Final = 2
# Mean interval of comparisons; well below the three seconds within which a
# host must be up to date after a partition.  Other hosts compare with it too.
COMPARISON_SECONDS: Final = 2.0
COMPARISON_JITTER: Final = 0.5
# Interval and number of the comparisons after a start.
STARTUP_COMPARISON_SECONDS: Final = 0.1
STARTUP_COMPARISONS: Final = 2
# Time for which a host counts as having a daemon after its entry lapsed: the
# entry lapses when the instance is down, but the daemon still takes requests.
HOST_RETENTION_SECONDS: Final = 60.0
# Time limit of a message; a daemon that missed it gets the cases from others.
REQUEST_TIMEOUT_SECONDS: Final = 1.0
# Characters of an exception message in a log line.
MAX_REASON_LENGTH: Final = 200
CASES_PATH: Final = '/crashes'
# Number of crashes from which a suspect runs alone.  A suspect of one crash
# may just have run beside the cause.
SOLO_MIN_CRASHES: Final = 2
OK: Final = 200
SendText = Callable[[str, str], Awaitable[str | Refusal]]


@attrs.frozen
class HttpCaseTransport:
    """Sends crash cases to the daemons of other hosts over HTTP.

    Parameters
    ==========

    session : aiohttp.ClientSession
    port : str
        On which every daemon listens for its peers.
    """

    session: aiohttp.ClientSession
    port: str

    async def ask(self, host: str, text: str) -> str | Refusal:
        """Send a text to the daemon of a host and return its answer."""
        response = await send(
            self.session,
            Outgoing(
                f'{host}:{self.port}',
                'POST',
                CASES_PATH,
                CIMultiDict({own_headers.CRASH_NEWS: '1'}),
                text.encode(),
                REQUEST_TIMEOUT_SECONDS,
            ),
        )
        match response:
            case Answer(status=status, body=body) if status == OK:
                return body.decode('utf-8', 'replace')
            case Answer(status=status):
                reason = f'status {status}'
                return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        return response


class CrashCaseExchange:
    """Exchanges crash cases with the daemons of other hosts.

    Parameters
    ==========

    suspicions : Suspicions
    registry : InstanceRegistry
    own_host : str
        Address of this host.
    ask : callable
        Sends a text to the daemon at an address, returns its answer.
    rng : random.Random
    """

    def __init__(
        self,
        suspicions: Suspicions,
        registry: InstanceRegistry,
        own_host: str,
        ask: SendText,
        rng: random.Random,
    ) -> None:
        self.suspicions = suspicions
        self.cases = suspicions.cases
        self.registry = registry
        self.own_host = own_host
        self.ask = ask
        self.rng = rng
        self.timer = self.cases.timer
        self.last_listed: dict[str, float] = {}
        # Fingerprints to send, and whether to send them although clear.
        self.pending: dict[bytes, bool] = {}
        self.has_pending = asyncio.Event()
        self.has_urgent = asyncio.Event()
        self.comparisons_left = STARTUP_COMPARISONS
        self.tasks: set[asyncio.Task[None]] = set()
        suspicions.spread = self.spread

    def spread(self, fingerprints: Iterable[bytes]) -> None:
        """Schedule the cases of fingerprints for sending."""
        for fingerprint in fingerprints:
            # A case that is clear when it is spread was convicted until now.
            is_clear = self.cases.verdict(fingerprint) is Verdict.CLEAR
            self.pending[fingerprint] = is_clear
            crashes = len(self.cases.case(fingerprint).counted)
            if is_clear or crashes >= URGENT_CRASHES:
                self.has_urgent.set()
        if self.pending:
            self.has_pending.set()

    async def run(self) -> None:
        """Send and compare cases until cancelled."""
        try:
            while True:
                await self._run_once()
        finally:
            for task in self.tasks:
                task.cancel()

    async def _run_once(self) -> None:
        """Send cases for one interval, then compare once; log exceptions."""
        try:
            await self._send_until(
                self.timer.now() + self._comparison_interval()
            )
            self._compare_with_random_host()
        except Exception as error:  # noqa: BLE001
            self._log_unexpected(error)
            await self.timer.sleep(STARTUP_COMPARISON_SECONDS)

    def _log_unexpected(self, error: BaseException) -> None:
        self.cases.recorder.count('crash_news_failed')
        reason = f'{type(error).__name__}: {error}'[:MAX_REASON_LENGTH]
        self.suspicions.log.write('crash_news_failed', reason=reason)

    def _comparison_interval(self) -> float:
        if self.comparisons_left:
            return STARTUP_COMPARISON_SECONDS
        # Jitter keeps daemons from comparing at the same time.
        return COMPARISON_SECONDS * (
            1 + COMPARISON_JITTER * (self.rng.random() - 0.5)
        )

    async def _send_until(self, deadline: float) -> None:
        while True:
            remaining = deadline - self.timer.now()
            if remaining <= 0:
                return
            try:
                async with asyncio.timeout(remaining):
                    await self.has_pending.wait()
            except TimeoutError:
                return
            await self._coalesce()
            self._send_pending()

    async def _coalesce(self) -> None:
        """Wait for further cases, for less time if some are urgent."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(COALESCE_SECONDS):
                await self.has_urgent.wait()
                await self.timer.sleep(URGENT_DELAY_SECONDS)

    def _send_pending(self) -> None:
        """Send the pending cases, except those that became clear since."""
        self.has_pending.clear()
        self.has_urgent.clear()
        told = tuple(
            each
            for each in self.cases.cases_to_send(self.pending)
            if self.pending[each.fingerprint]
            or each.case.verdict is not Verdict.CLEAR
        )
        self.pending.clear()
        if told:
            for host in self.recipients():
                self._start_task(self._send_cases(host, told))

    def _start_task(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: 'asyncio.Future[None]') -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._log_unexpected(error)

    def hosts(self) -> list[str]:
        """Return the sorted addresses of hosts that may run a daemon."""
        now = self.timer.now()
        for entry in self.registry.entries.values():
            self.last_listed[entry.instance.host_address] = now
        cutoff = now - HOST_RETENTION_SECONDS
        self.last_listed = {
            host: listed_at
            for host, listed_at in self.last_listed.items()
            if listed_at >= cutoff
        }
        return sorted(self.last_listed)

    def recipients(self) -> list[str]:
        """Return the hosts to which this daemon sends cases.

        Examples
        ========

        >>> recipient_offsets(13)
        [1, 2, 4, 8]
        """
        hosts = self.hosts()
        position = bisect.bisect_left(hosts, self.own_host)
        chosen = {
            hosts[(position + offset) % len(hosts)]: None
            for offset in recipient_offsets(len(hosts))
        }
        chosen.pop(self.own_host, None)
        return list(chosen)

    async def _send_cases(
        self, host: str, told: tuple[SharedCase, ...]
    ) -> None:
        reply = await self.ask(host, CaseMessage(told).encode())
        match reply:
            case Refusal(reason=reason):
                self.cases.recorder.count('crash_news_lost')
                self.suspicions.log.write(
                    'crash_news_lost',
                    instance_host=host,
                    reason=reason,
                )

    def _compare_with_random_host(self) -> None:
        is_listed = self.own_host in self.last_listed
        if self.cases.is_empty and is_listed and not self.comparisons_left:
            return
        hosts = self.recipients()
        if hosts:
            self.comparisons_left = max(self.comparisons_left - 1, 0)
            self._start_task(self._compare_with(self.rng.choice(hosts)))

    async def _compare_with(self, host: str) -> None:
        """Exchange cases with another daemon unless the digests agree."""
        query = CaseMessage(digest=self.cases.digest())
        reply = await self.ask(host, query.encode())
        match reply:
            case Refusal():
                return
        message = CaseMessage.decode(reply)
        match message:
            case CaseMessage(told=told, digest=digest) if digest:
                self._merge(told)
                if self.cases.digest() != digest:
                    await self._send_cases(
                        host, tuple(self.cases.cases_to_send())
                    )

    def answer(self, text: str | bytes) -> str | Refusal:
        """Merge the message of another daemon and answer its query."""
        message = CaseMessage.decode(text)
        match message:
            case Refusal():
                return message
        self._merge(message.told)
        digest = self.cases.digest()
        if message.digest in {'', digest}:
            return CaseMessage().encode()
        return CaseMessage(tuple(self.cases.cases_to_send()), digest).encode()

    def _merge(self, told: Iterable[SharedCase]) -> None:
        changed = [
            fingerprint
            for fingerprint in self.cases.merge_received(told)
            if self.cases.verdict(fingerprint) is not Verdict.CLEAR
        ]
        if changed:
            self.spread(changed)


def recipient_offsets(hosts: int) -> list[int]:
    """Return the offsets of recipients in a ring of hosts."""
    offsets = []
    offset = 1
    while offset < hosts:
        offsets.append(offset)
        offset *= 2
    return offsets


def make_suspicions(
    recorder: Recorder,
    names: HeaderNames,
    log: DecisionLog,
) -> Suspicions:
    """Return the suspicions of a daemon at its start."""
    cases = Cases(recorder, solo_from=SOLO_MIN_CRASHES, warm_up=WARM_UP_SECONDS)
    return Suspicions(cases, names.caller_service, log)


def make_case_exchange(
    settings: DaemonSettings,
    suspicions: Suspicions,
    registry: InstanceRegistry,
    session: aiohttp.ClientSession,
    rng: random.Random,
) -> CrashCaseExchange:
    """Return the exchange of crash cases of a daemon over HTTP."""
    own_host = settings.instance_address.rpartition(':')[0]
    ask = HttpCaseTransport(session, settings.peer_port).ask
    return CrashCaseExchange(suspicions, registry, own_host, ask, rng)
