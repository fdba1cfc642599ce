"""A whole daemon as `mode` services."""

import asyncio
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import attrs
from aiohttp import web
from mode import Service

from tanagerbend_admission import ObjectiveQueue
from tanagerbend_metrics import Recorder, expose
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.entry import Entry
from tanagerbend_proxy.exchange import make_session
from tanagerbend_proxy.following import EXPIRY_SECONDS, Follower, ItemService
from tanagerbend_proxy.front import CallerHandler, Endpoint, PeerHandler
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.peers import Peers
from tanagerbend_proxy.sources import Sources
from tanagerbend_proxy.terms import Terms
from tanagerbend_routing import Placement, RetryAllowance
from tanagerbend_timer import SystemTimer, Timer

# Idle connections to the instance; below the ten seconds after which
# instances of today's deployments close them.
INSTANCE_KEEP_SECONDS: Final = 4.0
PEER_KEEP_SECONDS: Final = 30.0
# Slots of the instance until its entry has been read.
FIRST_SLOTS: Final = 4
# The platform asks once each second and sends no more after two answers
# that are not ready; a third second covers a question on its way.
NOTICE_SECONDS: Final = 3.0
# Kept back from the time until the process is killed: for requests that
# still run, for idle connections, and for the end of the process.
FINISH_SECONDS: Final = 2.5
LINGER_SECONDS: Final = 1.6
EXIT_SECONDS: Final = 0.4
POLL_SECONDS: Final = 0.05
REFRESH_SECONDS: Final = 0.2
CLOCK_CHECK_SECONDS: Final = 1.0
# How often what was seen of instances that left is dropped.
FORGET_SECONDS: Final = 5.0


@attrs.define
class Parts:
    """The parts of one daemon."""

    terms: Terms
    recorder: Recorder
    log: DecisionLog
    knowledge: Knowledge
    follower: Follower
    owner: Owner
    entry: Entry
    callers: Endpoint
    peers: Endpoint
    is_stopping: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether this daemon takes requests."""
        return not self.is_stopping and self.knowledge.configuration is not None

    def adopt_terms(self, terms: Terms) -> None:
        """Take new bounds; addresses stay as long as the process runs."""
        is_changed = terms != self.terms
        self.terms = terms
        self.entry.allowance.terms = terms.budget
        self.log.write('settings_reloaded', is_changed=is_changed)


def assemble(
    terms: Terms,
    names: HeaderNames,
    connect: Callable[[Recorder], ItemService],
) -> Parts:
    """Wire the parts of a daemon; needs a running event loop.

    ``connect`` returns the client of the platform's service.
    """
    recorder = Recorder(SystemTimer())
    chance = random.Random()  # noqa: S311
    log = DecisionLog(terms.host, recorder)
    knowledge = Knowledge(recorder, log)
    owner = Owner(
        terms.instance_address,
        make_session(INSTANCE_KEEP_SECONDS, 0),
        ObjectiveQueue(recorder.timer, FIRST_SLOTS),
        names,
        recorder,
        knowledge.registry,
    )
    session = make_session(PEER_KEEP_SECONDS, 0)
    entry = Entry(
        terms,
        knowledge,
        Placement(terms.failure_domain, chance, recorder),
        owner,
        RetryAllowance(terms.budget),
        session,
        names,
        recorder,
        log,
        chance,
    )
    follower = Follower(
        connect(recorder),
        knowledge,
        Peers(terms, Sources(terms.instance_address, recorder), session),
        recorder,
        chance,
    )
    endpoint = CallerHandler(entry, names, recorder, terms.service)
    return Parts(
        terms,
        recorder,
        log,
        knowledge,
        follower,
        owner,
        entry,
        Endpoint(endpoint.handle, recorder),
        Endpoint(PeerHandler(owner, follower, names).handle, recorder),
    )


class ProxyService(Service):
    """Serves callers and peers, and follows the platform.

    Parameters
    ==========

    parts : Parts
    """

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self.parts = parts
        self.ready_endpoint = Endpoint(self.answer_ready, parts.recorder)
        self.metrics_endpoint = Endpoint(self.answer_metrics, parts.recorder)

    async def on_start(self) -> None:
        """Listen; callers are served once a configuration is known."""
        parts = self.parts
        listening = parts.terms.listening
        await self.ready_endpoint.open(listening.ready)
        await self.metrics_endpoint.open(listening.metrics)
        await parts.peers.open(listening.peers)
        await parts.callers.open(listening.callers)
        self._subscribe(parts.recorder.timer)
        parts.log.write(
            'daemon_started',
            service=parts.terms.service,
            address=listening.peers,
        )

    def _subscribe(self, timer: Timer) -> None:
        parts = self.parts
        timer.every(EXPIRY_SECONDS, parts.follower.expire)
        timer.every(REFRESH_SECONDS, self.refresh)
        timer.every(FORGET_SECONDS, self.forget)
        timer.every(CLOCK_CHECK_SECONDS, parts.log.check_clock)
        timer.on_pause(parts.log.paused)

    async def refresh(self) -> None:
        """Take the slots of the own instance from its entry."""
        parts = self.parts
        registry = parts.knowledge.registry
        own = registry.at_address(parts.terms.instance_address)
        if own is not None and own.slots != parts.owner.queue.slots:
            parts.owner.queue.resize(own.slots)

    async def forget(self) -> None:
        """Drop what was seen of instances that left."""
        parts = self.parts
        entries = parts.knowledge.registry.entries
        parts.entry.placement.retain(held.instance for held in entries.values())
        parts.follower.peers.sources.retain(entries)

    @Service.task
    async def follow(self) -> None:
        """Follow the platform's service."""
        await self.parts.follower.run()

    async def answer_ready(self, _request: web.BaseRequest) -> web.Response:
        """Tell the platform whether this daemon takes requests."""
        if self.parts.is_ready:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def answer_metrics(self, _request: web.BaseRequest) -> web.Response:
        """Return counters and histograms as text."""
        parts = self.parts
        gauges = {
            ('ready', ''): {'': int(parts.is_ready)},
            ('version', ''): {'': parts.knowledge.version},
            ('busy', ''): {'': parts.owner.queue.busy},
        }
        return web.Response(body=await expose(parts.recorder, gauges))

    async def stop_gracefully(self) -> None:
        """Serve until nobody sends any more, then stop."""
        parts = self.parts
        timer = parts.recorder.timer
        started = timer.now()
        parts.log.write('daemon_stopping', active=parts.callers.active)
        parts.is_stopping = True
        parts.owner.is_leaving = True
        parts.callers.is_closing = True
        grace = parts.terms.stop.grace
        await timer.sleep(min(NOTICE_SECONDS, grace - FINISH_SECONDS))
        parts.callers.is_shut = True
        while (
            self._is_busy() and timer.now() < started + grace - LINGER_SECONDS
        ):
            await timer.sleep(POLL_SECONDS)
        left = started + grace - EXIT_SECONDS - timer.now()
        try:
            async with asyncio.timeout(max(left, 0)):
                await self._close_endpoints()
        except TimeoutError:
            parts.log.write('stop_took_too_long', active=parts.callers.active)
        parts.log.write(
            'daemon_stopped',
            seconds=round(timer.now() - started, 3),
        )

    async def _close_endpoints(self) -> None:
        parts = self.parts
        await asyncio.gather(parts.callers.close(), parts.peers.close())
        await self.stop()

    def _is_busy(self) -> bool:
        return bool(self.parts.callers.active or self.parts.peers.active)

    async def on_stop(self) -> None:
        """Close what is open."""
        parts = self.parts
        await parts.recorder.timer.close()
        endpoints = (
            self.ready_endpoint,
            self.metrics_endpoint,
            parts.peers,
            parts.callers,
        )
        await asyncio.gather(*(endpoint.close() for endpoint in endpoints))

    async def on_shutdown(self) -> None:
        """Close the connections, after all tasks have ended."""
        parts = self.parts
        await parts.entry.session.close()
        await parts.owner.session.close()
        await parts.follower.service.close()
