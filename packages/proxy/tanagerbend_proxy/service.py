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
from tanagerbend_proxy.following_limits import EXPIRY_CHECK_SECONDS
from tanagerbend_proxy.endpoint import Endpoint
from tanagerbend_proxy.quarantine_view import QUARANTINE_PATH, QuarantineView
from tanagerbend_routing import ListedInstance
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

    components : Components
    """

    def __init__(self, components: Components) -> None:
        super().__init__()
        self.components = components
        recorder, uplink = components.recorder, components.owner.uplink
        shared = (recorder, uplink, components.lifetime)
        self.ready_endpoint = Endpoint(self.answer_ready, *shared)
        self.metrics_endpoint = Endpoint(self.answer_metrics, *shared)
        # Whether the own instance was cold at the last check.
        self.is_cold = False

    async def on_start(self) -> None:
        """Open the endpoints; callers are served once configured."""
        components = self.components
        listening = components.settings.listening
        await self.ready_endpoint.open(listening.ready)
        await self.metrics_endpoint.open(listening.metrics)
        await components.peers.open(listening.peers)
        await components.callers.open(listening.callers)
        self._schedule_checks(components.recorder.timer)
        components.log.write(
            'daemon_started',
            service=components.settings.service,
            address=listening.peers,
        )

    def _schedule_checks(self, timer: Timer) -> None:
        components = self.components
        components.owner.delay.due = timer.now() + CHECK_SECONDS
        timer.every(
            CHECK_SECONDS,
            combine_callbacks(
                self.check_delay,
                components.follower.expire,
                components.owner.guard.waits.check,
                components.follower.staleness.check,
                self.refresh_own_instance,
                self.refresh_limits,
            ),
        )
        timer.every(PRUNE_SECONDS, self.prune)
        timer.every(CLOCK_CHECK_SECONDS, components.log.check_clock)
        timer.on_pause(components.log.paused)

    async def refresh_own_instance(self) -> None:
        """Apply the slots and the cold rate of the own instance."""
        components = self.components
        registry = components.knowledge.registry
        own = registry.at_address(components.settings.instance_address)
        if own is not None and own.slots != components.owner.queue.slots:
            components.owner.queue.resize(own.slots)
        components.owner.cold.rate = components.knowledge.cold_rate(
            components.settings.service
        )
        if own is not None:
            self._log_cold(own)

    def _log_cold(self, own: ListedInstance) -> None:
        """Log that the own instance becomes cold or warm."""
        cold = self.components.owner.cold
        if cold.applies(own) == self.is_cold:
            return
        self.is_cold = not self.is_cold
        self.components.log.write(
            'instance_cold' if self.is_cold else 'instance_warm',
            instance=own.identity,
            per_second=cold.rate.per_second,
            refused=self.components.recorder.counters.get(
                'requests_refused_cold'
            ),
        )

    async def refresh_limits(self) -> None:
        """Apply the limits of the configuration, also to unread answers."""
        components = self.components
        components.client_limits.apply(components.knowledge.configuration)
        components.client_limits.answers.check()

    async def check_delay(self) -> None:
        """Record the delay of the event loop."""
        recorder = self.components.recorder
        delay = self.components.owner.delay.record_check(CHECK_SECONDS)
        recorder.histograms.record(LOOP_DELAY, '', 0, delay)
        if delay >= LOGGED_DELAY_SECONDS:
            self.components.log.write('loop_delayed', seconds=round(delay, 3))

    async def prune(self) -> None:
        """Drop the state of instances that are not listed any more."""
        components = self.components
        entries = components.knowledge.registry.entries
        components.entry.placement.retain(
            entry.instance for entry in entries.values()
        )
        components.follower.peers.sources.retain(entries)

    @Service.task
    async def follow(self) -> None:
        """Follow the configuration service."""
        await self.components.follower.run()

    @Service.task
    async def exchange_crash_cases(self) -> None:
        """Exchange crash cases with other daemons."""
        await self.components.case_exchange.run()

    async def answer_ready(self, _request: web.BaseRequest) -> web.Response:
        """Answer a readiness probe of the platform."""
        if self.components.is_ready:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def answer_metrics(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics as text, or the quarantine."""
        components = self.components
        if request.path == QUARANTINE_PATH:
            view = QuarantineView(components.case_exchange.suspicions)
            return await view.answer(request)
        gauges = {
            ('ready', ''): {'': int(components.is_ready)},
            ('version', ''): {'': components.knowledge.version},
            ('busy', ''): {'': components.owner.queue.busy},
            ('version_age', ''): {'': components.follower.staleness.seconds},
            ('entries_age', ''): {'': components.follower.staleness.seconds},
            ('suspects', ''): {
                '': len(components.case_exchange.cases.suspects)
            },
            ('convicts', ''): {
                '': len(components.case_exchange.cases.convicted)
            },
            ('body_memory_bytes', ''): {
                '': components.client_limits.memory.used
            },
            ('unsent_bytes', ''): {'': components.link.count_unsent()},
            ('link_unused_bytes', ''): {
                '': int(components.owner.uplink.unused)
            },
        }
        return web.Response(
            body=await tanagerbend_metrics.expose(components.recorder, gauges)
        )

    async def stop_gracefully(self) -> None:
        """Serve until no more requests come or time runs out, then stop."""
        components = self.components
        timer = components.recorder.timer
        started = timer.now()
        self._begin_stop(started)
        grace = components.settings.stop.grace
        await timer.sleep(
            min(READINESS_NOTICE_SECONDS, grace - REQUEST_MARGIN_SECONDS)
        )
        components.callers.is_refusing = True
        while (
            self._is_busy()
            and timer.now() < started + grace - IDLE_MARGIN_SECONDS
        ):
            await timer.sleep(POLL_SECONDS)
        components.owner.queue.refuse_waiting(
            Refusal(ResultCode.DRAINING, 'the daemon stops'),
        )
        remaining = components.lifetime.ends - timer.now()
        try:
            async with asyncio.timeout(max(remaining, 0)):
                await self._close_endpoints()
        except TimeoutError:
            components.log.write(
                'stop_took_too_long', active=components.callers.active
            )
        components.log.write(
            'daemon_stopped',
            seconds=round(timer.now() - started, 3),
        )

    def _begin_stop(self, started: float) -> None:
        """Refuse new work of other hosts; limit the work under way."""
        components = self.components
        components.log.write(
            'daemon_stopping', active=components.callers.active
        )
        components.is_stopping = True
        components.owner.is_leaving = True
        components.callers.is_closing = True
        components.lifetime.end_at(
            started + components.settings.stop.grace - EXIT_MARGIN_SECONDS
        )
        components.callers.prioritize_started()
        components.peers.prioritize_started()

    async def _close_endpoints(self) -> None:
        components = self.components
        await asyncio.gather(
            components.callers.finish(), components.peers.finish()
        )
        await self.stop()

    def _is_busy(self) -> bool:
        return self.components.callers.is_busy or self.components.peers.is_busy

    async def on_stop(self) -> None:
        """Stop the timer and close the endpoints."""
        components = self.components
        await components.recorder.timer.close()
        await components.owner.uplink.close()
        endpoints = (
            self.ready_endpoint,
            self.metrics_endpoint,
            components.peers,
            components.callers,
        )
        await asyncio.gather(*(endpoint.close() for endpoint in endpoints))

    async def on_shutdown(self) -> None:
        """Close the client sessions after all tasks have ended."""
        components = self.components
        await components.entry.session.close()
        await components.follower.peers.session.close()
        await components.owner.close()
        await components.follower.service.close()
