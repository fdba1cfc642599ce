"""Tells all daemons which requests end instances.

The load it answers: a request that comes again at any host.  Whoever may
send or run it has to know within seconds, at thousands of hosts as well, and
a daemon that was cut off or has just started soon after.

Hosts form a ring by their addresses.  A daemon that learns something tells
the hosts 1, 2, 4, 8, ... places ahead, so that it reaches all of them in as
many steps as their number has digits, over as many independent ways.  Now
and then a daemon that knows of a suspect compares what it knows with one of
these hosts.
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
from tanagerbend_proxy.crash_messages import News
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.exchange import Outgoing, send
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.messages import Answer
from tanagerbend_proxy.suspicions import Suspicions
from tanagerbend_proxy.terms import Terms
from tanagerbend_quarantine import Cases, Told, Verdict
from tanagerbend_quarantine.cases import WARM_UP_SECONDS
from tanagerbend_routing import InstanceRegistry

# News that come together are told together.  What only one crash says may
# wait for more, as most such requests succeed elsewhere meanwhile.
URGENT_SECONDS: Final = 0.01
GATHER_SECONDS: Final = 0.2
URGENT_CRASHES: Final = 2
# How often a daemon compares; well below the three seconds after which a
# host that was cut off counts as in touch, as several others do so too.
COMPARE_SECONDS: Final = 2.0
SPREAD: Final = 0.5
# How often it looks for others after its start, and how many it asks.
START_SECONDS: Final = 0.1
FIRST_ASKED: Final = 2
# An entry lapses when its instance is down, but the daemon beside it still
# takes requests.
REMEMBERED_SECONDS: Final = 60.0
# A daemon that doesn't answer by then is told by others.
ASK_SECONDS: Final = 1.0
# Characters of an error that are logged.
MOST_REASON: Final = 200
NEWS_PATH: Final = '/crashes'
# A suspect of one crash may have been a neighbour; one of two runs alone.
SOLO_FROM: Final = 2
OK: Final = 200
Ask = Callable[[str, str], Awaitable[str | Refusal]]


@attrs.frozen
class PeerNews:
    """Carries news to the daemons of other hosts over HTTP.

    Parameters
    ==========

    session : aiohttp.ClientSession
    port : str
        At which every daemon listens to its peers.
    """

    session: aiohttp.ClientSession
    port: str

    async def ask(self, host: str, text: str) -> str | Refusal:
        """Send a text to the daemon of a host and return its answer."""
        got = await send(
            self.session,
            Outgoing(
                f'{host}:{self.port}',
                'POST',
                NEWS_PATH,
                CIMultiDict({own_headers.CRASH_NEWS: '1'}),
                text.encode(),
                ASK_SECONDS,
            ),
        )
        match got:
            case Answer(status=status, body=body) if status == OK:
                return body.decode('utf-8', 'replace')
            case Answer(status=status):
                reason = f'status {status}'
                return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        return got


class CrashNews:
    """Tells other daemons of crashes, and asks them.

    Parameters
    ==========

    suspicions : Suspicions
    registry : InstanceRegistry
    own_host : str
        Address of this host.
    ask : callable
        Sends a text to the daemon at an address, returns its answer.
    chance : random.Random
    """

    def __init__(
        self,
        suspicions: Suspicions,
        registry: InstanceRegistry,
        own_host: str,
        ask: Ask,
        chance: random.Random,
    ) -> None:
        self.suspicions = suspicions
        self.cases = suspicions.cases
        self.registry = registry
        self.own_host = own_host
        self.ask = ask
        self.random = chance
        self.timer = self.cases.timer
        self.known: dict[str, float] = {}
        # Fingerprints, and whether they are told although they are clear.
        self.untold: dict[bytes, bool] = {}
        self.has_news = asyncio.Event()
        self.has_urgent = asyncio.Event()
        self.left_to_ask = FIRST_ASKED
        self.tasks: set[asyncio.Task[None]] = set()
        suspicions.spread = self.spread

    def spread(self, names: Iterable[bytes]) -> None:
        """Tell the other daemons about fingerprints soon."""
        for name in names:
            # What is clear when it is spread was refused until now.
            is_clear = self.cases.verdict(name) is Verdict.CLEAR
            self.untold[name] = is_clear
            crashes = len(self.cases.case(name).counted)
            if is_clear or crashes >= URGENT_CRASHES:
                self.has_urgent.set()
        if self.untold:
            self.has_news.set()

    async def run(self) -> None:
        """Tell and compare until cancelled."""
        try:
            while True:
                await self._run_once()
        finally:
            for task in self.tasks:
                task.cancel()

    async def _run_once(self) -> None:
        """Tell for a while and compare once; an error must not end it."""
        try:
            await self._tell_until(self.timer.now() + self._pause())
            self._compare_with_one()
        except Exception as error:  # noqa: BLE001
            self._log_unexpected(error)
            await self.timer.sleep(START_SECONDS)

    def _log_unexpected(self, error: BaseException) -> None:
        self.cases.recorder.count('crash_news_failed')
        reason = f'{type(error).__name__}: {error}'[:MOST_REASON]
        self.suspicions.log.write('crash_news_failed', reason=reason)

    def _pause(self) -> float:
        if self.left_to_ask:
            return START_SECONDS
        # Daemons that learnt at the same time don't compare at the same time.
        return COMPARE_SECONDS * (1 + SPREAD * (self.random.random() - 0.5))

    async def _tell_until(self, due: float) -> None:
        while True:
            left = due - self.timer.now()
            if left <= 0:
                return
            try:
                async with asyncio.timeout(left):
                    await self.has_news.wait()
            except TimeoutError:
                return
            await self._gather()
            self._tell_others()

    async def _gather(self) -> None:
        """Wait for more news."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GATHER_SECONDS):
                await self.has_urgent.wait()
                await self.timer.sleep(URGENT_SECONDS)

    def _tell_others(self) -> None:
        """Tell what is not clear by now."""
        self.has_news.clear()
        self.has_urgent.clear()
        told = tuple(
            each
            for each in self.cases.told(self.untold)
            if self.untold[each.fingerprint]
            or each.case.verdict is not Verdict.CLEAR
        )
        self.untold.clear()
        if told:
            for host in self.ahead():
                self._start(self._tell(host, told))

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: 'asyncio.Future[None]') -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._log_unexpected(error)

    def hosts(self) -> list[str]:
        """Return the addresses of the hosts that may have a daemon."""
        now = self.timer.now()
        for held in self.registry.entries.values():
            self.known[held.instance.host_address] = now
        oldest = now - REMEMBERED_SECONDS
        self.known = {
            host: since for host, since in self.known.items() if since >= oldest
        }
        return sorted(self.known)

    def ahead(self) -> list[str]:
        """Return the hosts that this daemon tells.

        Examples
        ========

        >>> places_ahead(13)
        [1, 2, 4, 8]
        """
        hosts = self.hosts()
        place = bisect.bisect_left(hosts, self.own_host)
        found = {
            hosts[(place + step) % len(hosts)]: None
            for step in places_ahead(len(hosts))
        }
        found.pop(self.own_host, None)
        return list(found)

    async def _tell(self, host: str, told: tuple[Told, ...]) -> None:
        reply = await self.ask(host, News(told).encode())
        match reply:
            case Refusal(reason=reason):
                self.cases.recorder.count('crash_news_lost')
                self.suspicions.log.write(
                    'crash_news_lost',
                    instance_host=host,
                    reason=reason,
                )

    def _compare_with_one(self) -> None:
        is_listed = self.own_host in self.known
        if self.cases.is_empty and is_listed and not self.left_to_ask:
            return
        hosts = self.ahead()
        if hosts:
            self.left_to_ask = max(self.left_to_ask - 1, 0)
            self._start(self._compare(self.random.choice(hosts)))

    async def _compare(self, host: str) -> None:
        """Take what another daemon knows, and tell it what it doesn't."""
        question = News(digest=self.cases.digest())
        reply = await self.ask(host, question.encode())
        match reply:
            case Refusal():
                return
        news = News.decode(reply)
        match news:
            case News(told=told, digest=digest) if digest:
                self._take(told)
                if self.cases.digest() != digest:
                    await self._tell(host, tuple(self.cases.told()))

    def answer(self, text: str | bytes) -> str | Refusal:
        """Take the message of another daemon, and answer its question."""
        news = News.decode(text)
        match news:
            case Refusal():
                return news
        self._take(news.told)
        digest = self.cases.digest()
        if news.digest in {'', digest}:
            return News().encode()
        return News(tuple(self.cases.told()), digest).encode()

    def _take(self, told: Iterable[Told]) -> None:
        changed = [
            name
            for name in self.cases.join(told)
            if self.cases.verdict(name) is not Verdict.CLEAR
        ]
        if changed:
            self.spread(changed)


def places_ahead(hosts: int) -> list[int]:
    """Return how far ahead in a ring of hosts the others are told."""
    steps = []
    step = 1
    while step < hosts:
        steps.append(step)
        step *= 2
    return steps


def make_suspicions(
    recorder: Recorder,
    names: HeaderNames,
    log: DecisionLog,
) -> Suspicions:
    """Return the suspicions of a daemon that has just started."""
    cases = Cases(recorder, solo_from=SOLO_FROM, warm_up=WARM_UP_SECONDS)
    return Suspicions(cases, names.caller_service, log)


def make_news(
    terms: Terms,
    suspicions: Suspicions,
    registry: InstanceRegistry,
    session: aiohttp.ClientSession,
    chance: random.Random,
) -> CrashNews:
    """Return the news of a daemon, over HTTP."""
    own_host = terms.instance_address.rpartition(':')[0]
    ask = PeerNews(session, terms.peer_port).ask
    return CrashNews(suspicions, registry, own_host, ask, chance)
