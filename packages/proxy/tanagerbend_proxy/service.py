"""A whole daemon as `mode` services."""

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mode import Service

import tanagerbend_metrics
from tanagerbend_metrics.names import LOOP_DELAY
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.assembly import Parts
from tanagerbend_proxy.following import EXPIRY_CHECK_SECONDS
from tanagerbend_proxy.endpoint import Endpoint
from tanagerbend_proxy.quarantine_view import PATH, QuarantineView
from tanagerbend_timer import Timer, together

# How often the delay of the event loop, entries that were kept, the age of
# what is known and the slots of the own instance are checked.
CHECK_SECONDS: Final = EXPIRY_CHECK_SECONDS
# Delay of the event loop from which on it is logged.
LONG_DELAY_SECONDS: Final = 0.25
# The platform asks once each second and sends no more after two answers
# that are not ready; a third second covers a question on its way.
NOTICE_SECONDS: Final = 3.0
# Kept back from the time until the process is killed: for requests that
# still run, for idle connections, and for the end of the process.
FINISH_SECONDS: Final = 2.5
LINGER_SECONDS: Final = 1.6
EXIT_SECONDS: Final = 0.4
POLL_SECONDS: Final = 0.05
CLOCK_CHECK_SECONDS: Final = 1.0
# How often what was seen of instances that left is dropped.
FORGET_SECONDS: Final = 5.0


class ProxyService(Service):
    """Serves callers and peers, and follows the platform.

    Parameters
    ==========

    parts : Parts
    """

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self.parts = parts
        recorder, uplink = parts.recorder, parts.owner.uplink
        shared = (recorder, uplink, parts.lifetime)
        self.ready_endpoint = Endpoint(self.answer_ready, *shared)
        self.metrics_endpoint = Endpoint(self.answer_metrics, *shared)

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
        parts.owner.delay.due = timer.now() + CHECK_SECONDS
        timer.every(
            CHECK_SECONDS,
            together(
                self.check_delay,
                parts.follower.expire,
                parts.follower.staleness.check,
                self.refresh,
            ),
        )
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

    async def check_delay(self) -> None:
        """Note how late the event loop runs what is due."""
        recorder = self.parts.recorder
        delay = self.parts.owner.delay.record_check(CHECK_SECONDS)
        recorder.histograms.record(LOOP_DELAY, '', 0, delay)
        if delay >= LONG_DELAY_SECONDS:
            self.parts.log.write('loop_delayed', seconds=round(delay, 3))

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

    @Service.task
    async def tell_crashes(self) -> None:
        """Tell other daemons of requests that end instances."""
        await self.parts.news.run()

    async def answer_ready(self, _request: web.BaseRequest) -> web.Response:
        """Tell the platform whether this daemon takes requests."""
        if self.parts.is_ready:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def answer_metrics(self, request: web.BaseRequest) -> web.Response:
        """Return counters and histograms as text, or what is refused."""
        parts = self.parts
        if request.path == PATH:
            view = QuarantineView(parts.news.suspicions)
            return await view.answer(request)
        gauges = {
            ('ready', ''): {'': int(parts.is_ready)},
            ('version', ''): {'': parts.knowledge.version},
            ('busy', ''): {'': parts.owner.queue.busy},
            ('version_age', ''): {'': parts.follower.staleness.seconds},
            ('entries_age', ''): {'': parts.follower.staleness.seconds},
            ('suspects', ''): {'': len(parts.news.cases.suspects)},
            ('convicts', ''): {'': len(parts.news.cases.convicts)},
            ('unsent_bytes', ''): {'': parts.link.count_unsent()},
            ('link_unused_bytes', ''): {'': int(parts.owner.uplink.unused)},
        }
        return web.Response(
            body=await tanagerbend_metrics.expose(parts.recorder, gauges)
        )

    async def stop_gracefully(self) -> None:
        """Serve until nobody sends any more, then stop."""
        parts = self.parts
        timer = parts.recorder.timer
        started = timer.now()
        self._begin_stop(started)
        grace = parts.terms.stop.grace
        await timer.sleep(min(NOTICE_SECONDS, grace - FINISH_SECONDS))
        parts.callers.is_shut = True
        while (
            self._is_busy() and timer.now() < started + grace - LINGER_SECONDS
        ):
            await timer.sleep(POLL_SECONDS)
        parts.owner.queue.turn_away(
            Refusal(ResultCode.DRAINING, 'the daemon stops'),
        )
        left = parts.lifetime.ends - timer.now()
        try:
            async with asyncio.timeout(max(left, 0)):
                await self._close_endpoints()
        except TimeoutError:
            parts.log.write('stop_took_too_long', active=parts.callers.active)
        parts.log.write(
            'daemon_stopped',
            seconds=round(timer.now() - started, 3),
        )

    def _begin_stop(self, started: float) -> None:
        """Take no work of other hosts, and end what is taken in time."""
        parts = self.parts
        parts.log.write('daemon_stopping', active=parts.callers.active)
        parts.is_stopping = True
        parts.owner.is_leaving = True
        parts.callers.is_closing = True
        parts.lifetime.end_at(started + parts.terms.stop.grace - EXIT_SECONDS)
        parts.callers.hurry()
        parts.peers.hurry()

    async def _close_endpoints(self) -> None:
        parts = self.parts
        await asyncio.gather(parts.callers.finish(), parts.peers.finish())
        await self.stop()

    def _is_busy(self) -> bool:
        return self.parts.callers.is_busy or self.parts.peers.is_busy

    async def on_stop(self) -> None:
        """Close what is open."""
        parts = self.parts
        await parts.recorder.timer.close()
        await parts.owner.uplink.close()
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
