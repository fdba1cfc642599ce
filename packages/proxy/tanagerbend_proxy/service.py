"""A daemon as a `mode` service."""

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mode import Service

import tanagerbend_metrics
from tanagerbend_metrics.names import LOOP_DELAY
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.assembly import Components
from tanagerbend_proxy.following import EXPIRY_CHECK_SECONDS
from tanagerbend_proxy.endpoint import Endpoint
from tanagerbend_proxy.quarantine_view import QUARANTINE_PATH, QuarantineView
from tanagerbend_timer import Timer, combine_callbacks

# Interval at which the delay of the event loop, the expiry of retained
# entries, the age of the configuration and the instance's slots are checked.
CHECK_SECONDS: Final = EXPIRY_CHECK_SECONDS
# Smallest delay of the event loop that is logged.
LOGGED_DELAY_SECONDS: Final = 0.25
# The platform probes readiness once a second and stops sending requests after
# two negative answers; a third second covers a probe under way.
READINESS_NOTICE_SECONDS: Final = 3.0
# Reserved before the process is killed: for running requests, for closing
# idle connections, and for the exit of the process.
REQUEST_MARGIN_SECONDS: Final = 2.5
IDLE_MARGIN_SECONDS: Final = 1.6
EXIT_MARGIN_SECONDS: Final = 0.4
POLL_SECONDS: Final = 0.05
CLOCK_CHECK_SECONDS: Final = 1.0
# Interval at which the state of removed instances is dropped.
PRUNE_SECONDS: Final = 5.0


class ProxyService(Service):
    """Serves callers and peers, and follows the configuration service.

    Parameters
    ==========

    parts : Components
    """

    def __init__(self, parts: Components) -> None:
        super().__init__()
        self.parts = parts
        recorder, uplink = parts.recorder, parts.owner.uplink
        shared = (recorder, uplink, parts.lifetime)
        self.ready_endpoint = Endpoint(self.answer_ready, *shared)
        self.metrics_endpoint = Endpoint(self.answer_metrics, *shared)

    async def on_start(self) -> None:
        """Open the endpoints; callers are served once configured."""
        parts = self.parts
        listening = parts.terms.listening
        await self.ready_endpoint.open(listening.ready)
        await self.metrics_endpoint.open(listening.metrics)
        await parts.peers.open(listening.peers)
        await parts.callers.open(listening.callers)
        self._schedule_checks(parts.recorder.timer)
        parts.log.write(
            'daemon_started',
            service=parts.terms.service,
            address=listening.peers,
        )

    def _schedule_checks(self, timer: Timer) -> None:
        parts = self.parts
        parts.owner.delay.due = timer.now() + CHECK_SECONDS
        timer.every(
            CHECK_SECONDS,
            combine_callbacks(
                self.check_delay,
                parts.follower.expire,
                parts.follower.staleness.check,
                self.refresh_slots,
            ),
        )
        timer.every(PRUNE_SECONDS, self.prune)
        timer.every(CLOCK_CHECK_SECONDS, parts.log.check_clock)
        timer.on_pause(parts.log.paused)

    async def refresh_slots(self) -> None:
        """Apply the slots of the own instance from its entry."""
        parts = self.parts
        registry = parts.knowledge.registry
        own = registry.at_address(parts.terms.instance_address)
        if own is not None and own.slots != parts.owner.queue.slots:
            parts.owner.queue.resize(own.slots)

    async def check_delay(self) -> None:
        """Record the delay of the event loop."""
        recorder = self.parts.recorder
        delay = self.parts.owner.delay.record_check(CHECK_SECONDS)
        recorder.histograms.record(LOOP_DELAY, '', 0, delay)
        if delay >= LOGGED_DELAY_SECONDS:
            self.parts.log.write('loop_delayed', seconds=round(delay, 3))

    async def prune(self) -> None:
        """Drop the state of instances that are not listed any more."""
        parts = self.parts
        entries = parts.knowledge.registry.entries
        parts.entry.placement.retain(
            entry.instance for entry in entries.values()
        )
        parts.follower.peers.sources.retain(entries)

    @Service.task
    async def follow(self) -> None:
        """Follow the configuration service."""
        await self.parts.follower.run()

    @Service.task
    async def exchange_crash_news(self) -> None:
        """Exchange crash cases with other daemons."""
        await self.parts.news.run()

    async def answer_ready(self, _request: web.BaseRequest) -> web.Response:
        """Answer a readiness probe of the platform."""
        if self.parts.is_ready:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def answer_metrics(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics as text, or the quarantine."""
        parts = self.parts
        if request.path == QUARANTINE_PATH:
            view = QuarantineView(parts.news.suspicions)
            return await view.answer(request)
        gauges = {
            ('ready', ''): {'': int(parts.is_ready)},
            ('version', ''): {'': parts.knowledge.version},
            ('busy', ''): {'': parts.owner.queue.busy},
            ('version_age', ''): {'': parts.follower.staleness.seconds},
            ('entries_age', ''): {'': parts.follower.staleness.seconds},
            ('suspects', ''): {'': len(parts.news.cases.suspects)},
            ('convicts', ''): {'': len(parts.news.cases.convicted)},
            ('unsent_bytes', ''): {'': parts.link.count_unsent()},
            ('link_unused_bytes', ''): {'': int(parts.owner.uplink.unused)},
        }
        return web.Response(
            body=await tanagerbend_metrics.expose(parts.recorder, gauges)
        )

    async def stop_gracefully(self) -> None:
        """Serve until no more requests come or time runs out, then stop."""
        parts = self.parts
        timer = parts.recorder.timer
        started = timer.now()
        self._begin_stop(started)
        grace = parts.terms.stop.grace
        await timer.sleep(
            min(READINESS_NOTICE_SECONDS, grace - REQUEST_MARGIN_SECONDS)
        )
        parts.callers.is_refusing = True
        while (
            self._is_busy()
            and timer.now() < started + grace - IDLE_MARGIN_SECONDS
        ):
            await timer.sleep(POLL_SECONDS)
        parts.owner.queue.refuse_waiting(
            Refusal(ResultCode.DRAINING, 'the daemon stops'),
        )
        remaining = parts.lifetime.ends - timer.now()
        try:
            async with asyncio.timeout(max(remaining, 0)):
                await self._close_endpoints()
        except TimeoutError:
            parts.log.write('stop_took_too_long', active=parts.callers.active)
        parts.log.write(
            'daemon_stopped',
            seconds=round(timer.now() - started, 3),
        )

    def _begin_stop(self, started: float) -> None:
        """Refuse new work of other hosts; limit the work under way."""
        parts = self.parts
        parts.log.write('daemon_stopping', active=parts.callers.active)
        parts.is_stopping = True
        parts.owner.is_leaving = True
        parts.callers.is_closing = True
        parts.lifetime.end_at(
            started + parts.terms.stop.grace - EXIT_MARGIN_SECONDS
        )
        parts.callers.prioritize_started()
        parts.peers.prioritize_started()

    async def _close_endpoints(self) -> None:
        parts = self.parts
        await asyncio.gather(parts.callers.finish(), parts.peers.finish())
        await self.stop()

    def _is_busy(self) -> bool:
        return self.parts.callers.is_busy or self.parts.peers.is_busy

    async def on_stop(self) -> None:
        """Stop the timer and close the endpoints."""
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
        """Close the client sessions after all tasks have ended."""
        parts = self.parts
        await parts.entry.session.close()
        await parts.owner.session.close()
        await parts.follower.service.close()
