"""Serves callers: matches routes, chooses instances, retries, refuses."""

import asyncio
import math
import random
from typing import Final

import aiohttp
import attrs
from multidict import CIMultiDict

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import ANSWER_TIME, REFUSALS
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy import headers as own_headers
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.results import (
    CRASHES_INSTANCES,
    SERVER_ERROR,
    count_placing,
    final_result,
    why_no_more_owners,
    why_not_retried,
    refuse_unplaced,
)
from tanagerbend_proxy.exchange import Outgoing, send
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.link_use import PLACED, LinkUse
from tanagerbend_proxy.messages import (
    Answer,
    Outcome,
    Placed,
    Request,
)
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.repeats import CERTAIN_SHARE
from tanagerbend_proxy.suspicions import Suspicions
from tanagerbend_proxy.request_lines import RequestLines, RequestState
from tanagerbend_proxy.daemon_settings import DaemonSettings
from tanagerbend_routing import (
    ListedInstance,
    Placement,
    PrefixRoute,
)

KILOBYTE: Final = 1024
# Reserved at this daemon, so that it reads the owner's answer before the
# caller's deadline.
RETURN_MARGIN_SECONDS: Final = 0.02
# How long to wait for an owner beyond the time limit that it was given;
# after that its answer counts as lost.
OWNER_GRACE_SECONDS: Final = 0.06
# Least time for asking an owner, and least `Retry-After`.
MIN_SECONDS: Final = 0.005
# Callers honour a `Retry-After` of up to a third of their remaining time.
RETRY_AFTER_DIVISOR: Final = 3
# Refused callers retry at random times between this share of the longest
# wait and the whole of it.
MIN_WAIT_SHARE: Final = 0.3
# `Retry-After` if the deadline or the route of the request is unknown.
DEFAULT_RETRY_SECONDS: Final = 1.0
# Refusals that say nothing about the capacity of an instance.
NEUTRAL_CODES: Final = frozenset(
    (
        ResultCode.RETRY_BUDGET_SPENT,
        ResultCode.REQUEST_CRASHES_BACKEND,
    ),
)
OVERLOAD_CODES: Final = frozenset(
    (
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.DEADLINE_PASSED,
    )
)


@attrs.define
class Entry:
    """Serves the requests of callers on this host.

    Parameters
    ==========

    settings : DaemonSettings
    knowledge : DeploymentState
    placement : Placement
    owner : Owner
    session : aiohttp.ClientSession
        For requests to other daemons.
    names : HeaderNames
    recorder : Recorder
    log : DecisionLog
    random : random.Random
    link : LinkUse
    """

    settings: DaemonSettings
    knowledge: DeploymentState
    placement: Placement
    owner: Owner
    session: aiohttp.ClientSession
    names: HeaderNames
    recorder: Recorder
    log: DecisionLog
    random: random.Random
    link: LinkUse
    lines: RequestLines = attrs.field(init=False)
    suspicions: Suspicions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        timer = self.recorder.timer
        self.suspicions = self.owner.suspicions
        self.lines = RequestLines(self.log, self.knowledge, timer)
        self.placement.local_address = self.settings.instance_address
        self.placement.link_delay = self.owner.uplink.seconds_for
        self.placement.local_free_slots = self.owner.free_slots

    async def handle(self, request: Request) -> Answer | Refusal:
        """Return the answer to a request, or a refusal with a reason."""
        route = self._match_route(request)
        match route:
            case Refusal():
                return route
        state = self._make_state(request, route)
        state.caused = self.owner.repeats.requested(state.service, request)
        try:
            result = self.suspicions.refuse(request)
            if result is not None:
                state.stopped_by = CRASHES_INSTANCES
            result = result or self._refuse_if_delayed(state)
            if result is None:
                result = await self._try_instances(state)
        except asyncio.CancelledError:
            self.lines.add('request_left', state)
            self.lines.write('request_left', state)
            raise
        finally:
            if state.has_crash_evidence:
                self.suspicions.spread_case(request)
        match result:
            case Refusal():
                self._record_refusal(state, result)
            case Answer(status=status):
                self._record_answer(state, status)
        return result

    def _make_state(self, request: Request, route: PrefixRoute) -> RequestState:
        seconds_to_target = self.placement.remaining_objective(
            route, request.time_left
        )
        return RequestState(
            request,
            route,
            route.pick_service(self.random),
            min(request.arrived + route.timeout, request.deadline),
            request.arrived + seconds_to_target,
        )

    def _record_refusal(self, state: RequestState, refusal: Refusal) -> None:
        self.recorder.count(REFUSALS, refusal.code.name)
        self.lines.add('request_refused', state, refusal)
        self.lines.write(refusal.code.name, state)

    def _match_route(self, request: Request) -> PrefixRoute | Refusal:
        configuration = self.knowledge.configuration
        if configuration is None:
            reason = 'no configuration has been received yet'
            return Refusal(ResultCode.NO_CONFIGURATION, reason)
        route = configuration.match(request.host, request.path)
        match route:
            case Refusal():
                self.lines.write_unrouted(request, route)
        return route

    def refuse_early(self, request: Request) -> Refusal | None:
        """Refuse a request before its body is read; None to accept it."""
        route = self._match_route(request)
        match route:
            case Refusal():
                return route
        state = self._make_state(request, route)
        refusal = self._refuse_if_delayed(state)
        if not self.knowledge.registry.usable(state.service):
            refusal = refuse_unplaced(self.knowledge.registry, state.service)
        if refusal is not None:
            self._record_refusal(state, refusal)
        return refusal

    def _refuse_if_delayed(self, state: RequestState) -> Refusal | None:
        """Refuse a request that this daemon's delay makes too late.

        Returns None if there is time for it.
        """
        left = state.deadline - self.recorder.timer.now()
        work = self.placement.work_of(state.route.name).seconds
        return self.owner.delay.refuse(work, left)

    def _record_answer(self, state: RequestState, status: int) -> None:
        now = self.recorder.timer.now()
        route = state.route
        self.recorder.histograms.record(
            ANSWER_TIME,
            route.name,
            route.rank,
            now - state.request.arrived,
        )
        kind = 'request_answered'
        if status >= SERVER_ERROR:
            kind = 'request_failed'
        elif now > state.on_time_until:
            kind = 'request_late'
        elif not state.lines:
            # An answer in the target time at the first attempt isn't logged.
            return
        self.lines.add(kind, state, status=status)
        self.lines.write(kind, state)

    async def _try_instances(self, state: RequestState) -> Answer | Refusal:
        while True:
            instance = self.placement.choose(
                self.knowledge.registry.usable(state.service),
                state.route,
                state.tried,
            )
            if instance is None:
                state.stopped_by = 'no other instance accepts work now'
                break
            state.placed += 1
            state.instance = instance
            outcome = await self._ask_owner(state, instance)
            self._apply_outcome(state, instance, outcome)
            state.stopped_by = self._reason_to_stop(state, outcome)
            if state.stopped_by:
                break
            self.lines.add_retry(state, outcome.result)
        return final_result(state, self.knowledge.registry)

    async def _ask_owner(
        self,
        state: RequestState,
        instance: ListedInstance,
    ) -> Outcome:
        """Ask the owner of an instance to run the request."""
        now = self.recorder.timer.now()
        left = state.deadline - now - RETURN_MARGIN_SECONDS
        if left < MIN_SECONDS:
            reason = 'too little time is left to reach an instance'
            return Outcome(Refusal(ResultCode.DEADLINE_PASSED, reason))
        placed = Placed(
            instance.identity,
            state.route.name,
            state.route.rank,
            state.route.repeat,
            state.on_time_until - now,
            left,
            CERTAIN_SHARE if state.offered else state.caused,
            self.suspicions.evidence(state.request),
        )
        self.placement.record_placed(instance, placed.route)
        load = self.placement.observed_instance(instance).rank_load(
            state.route.rank
        )
        load.outstanding += 1
        try:
            if instance.address == self.settings.instance_address:
                return await self.owner.run(state.request, placed)
            return await self._ask_remote_owner(state, instance, placed)
        finally:
            load.outstanding -= 1

    async def _ask_remote_owner(
        self,
        state: RequestState,
        instance: ListedInstance,
        placed: Placed,
    ) -> Outcome:
        """Ask the owner on another host to run the request.

        The owner's limits leave time to send the answer to the caller.
        """
        size = self.placement.work_of(placed.route).size
        uplink = self.owner.uplink
        sending = uplink.seconds_for(size)
        shortened = attrs.evolve(
            placed,
            on_time=placed.on_time - sending,
            time_left=placed.time_left - sending,
        )
        min_seconds = uplink.least_seconds_for(size, placed.rank)
        if min_seconds > placed.time_left:
            reason = f'the link of this host is busy for {min_seconds:.3f} s'
            return Outcome(Refusal(ResultCode.DEADLINE_UNREACHABLE, reason))
        # A smaller answer needs less time on the link, so the wait for the
        # owner isn't shortened by the sending time.
        limit = placed.time_left + OWNER_GRACE_SECONDS
        with uplink.expecting(size, placed.rank):
            return await self._forward(
                state.request,
                instance,
                shortened,
                limit,
            )

    async def _forward(
        self,
        request: Request,
        instance: ListedInstance,
        placed: Placed,
        limit: float,
    ) -> Outcome:
        headers = CIMultiDict(request.headers)
        headers[own_headers.PLACED] = placed.encode()
        if placed.repeated:
            headers[own_headers.REPEATED] = placed.encode_repeated()
        if placed.evidence:
            headers[own_headers.CRASHES] = placed.evidence
        self.owner.uplink.spend(len(request.body))
        address = f'{instance.host_address}:{self.settings.peer_port}'
        result = await send(
            self.session,
            Outgoing(
                address,
                request.method,
                request.path,
                headers,
                request.body,
                limit,
                self.names.request_id,
                request.identifier,
            ),
        )
        match result:
            case Refusal():
                return Outcome(result, is_offered=result.ran is not Ran.NO)
        self.link.received(PLACED, len(result.body))
        encoded = result.headers.pop(own_headers.OUTCOME, '')
        evidence = result.headers.pop(own_headers.CRASHES, '')
        return Outcome.decode(encoded, result, evidence)

    def _apply_outcome(
        self,
        state: RequestState,
        instance: ListedInstance,
        outcome: Outcome,
    ) -> None:
        """Update the request state and the known load of an instance."""
        state.tried |= {instance.identity}
        count_placing(state, outcome)
        if outcome.evidence:
            state.has_crash_evidence = True
            self.suspicions.merge_evidence(outcome.evidence)
        if outcome.load is not None:
            rank = state.route.rank
            self.placement.record_report(instance, rank, outcome.load)
            state.served = outcome.load.service_seconds
        match outcome.result:
            case Answer(status=status, body=body):
                state.last = outcome.result
                self.suspicions.succeeded(state.request)
                if status >= SERVER_ERROR:
                    self.placement.record_failure(instance)
                    return
                self._log_recovery(instance)
                self.placement.record_answer(
                    instance,
                    state.route.name,
                    state.served,
                    len(body) / KILOBYTE,
                )
            case Refusal():
                has_load = outcome.load is not None
                self._apply_refusal(
                    state,
                    instance,
                    outcome.result,
                    has_load=has_load,
                )

    def _apply_refusal(
        self,
        state: RequestState,
        instance: ListedInstance,
        refusal: Refusal,
        *,
        has_load: bool,
    ) -> None:
        """Update what is known of an instance whose owner refused.

        ``has_load`` tells whether the owner reported its load as well.
        """
        state.has_run |= refusal.ran is not Ran.NO
        if not isinstance(state.last, Answer):
            state.last = refusal
        if refusal.ran is Ran.UNKNOWN or (
            refusal.code is ResultCode.BACKEND_SHED_LOAD
        ):
            self.placement.record_failure(instance)
        elif refusal.code in NEUTRAL_CODES:
            return
        elif refusal.code in OVERLOAD_CODES:
            # A refusal by this daemon says nothing about the instance.
            if has_load:
                work = self.placement.work_of(state.route.name)
                rank = state.route.rank
                self.placement.back_off(instance, rank, is_large=work.is_large)
        else:
            avoid(self, instance, refusal)

    def _log_recovery(self, instance: ListedInstance) -> None:
        if self.placement.observed_instance(instance).avoid_seconds:
            self.log.write(
                'instance_back',
                instance=instance.identity,
                instance_host=instance.host_address,
            )

    def _reason_to_stop(self, state: RequestState, outcome: Outcome) -> str:
        """Return why a request isn't retried, empty if it is."""
        now = self.recorder.timer.now()
        reason = why_not_retried(outcome.result, state.route.repeat)
        if reason:
            return reason
        if state.deadline - now < self._min_useful_seconds(state):
            return 'too little time is left'
        reason = why_no_more_owners(state)
        if reason:
            return reason
        match outcome.result:
            case Refusal(ran=Ran.NO) if not outcome.is_offered:
                return ''
        if state.attempts >= state.route.max_attempts:
            return 'the route allows no more attempts'
        if self.owner.repeats.take(state.service, outcome.result):
            return ''
        return 'the retry budget is spent'

    def _min_useful_seconds(self, state: RequestState) -> float:
        """Return the remaining time below which a retry is useless."""
        typical = self.placement.work_of(state.route.name).seconds
        return RETURN_MARGIN_SECONDS + max(MIN_SECONDS, typical / 2)

    def route_of(self, request: Request) -> PrefixRoute | None:
        """Return the route of a request, None if none matches."""
        configuration = self.knowledge.configuration
        if configuration is None:
            return None
        route = configuration.match(request.host, request.path)
        return None if isinstance(route, Refusal) else route

    def retry_after(self, request: Request) -> float:
        """Return the seconds after which a refused caller should retry.

        The retry comes while an answer is still possible in the target
        time.  A caller honours up to a third of its remaining time.
        """
        now = self.recorder.timer.now()
        left = request.deadline - now
        if not math.isfinite(left):
            return DEFAULT_RETRY_SECONDS
        spread = MIN_WAIT_SHARE + (1 - MIN_WAIT_SHARE) * self.random.random()
        max_seconds = left / RETRY_AFTER_DIVISOR
        wait = spread * min(max_seconds, self._max_wait_seconds(request))
        # Not before this daemon has worked off its delay.
        min_seconds = min(self.owner.delay.request_wait, max_seconds)
        return max(wait, min_seconds, MIN_SECONDS)

    def _max_wait_seconds(self, request: Request) -> float:
        """Return how long a caller may wait and still meet the target."""
        route = self.route_of(request)
        if route is None:
            return DEFAULT_RETRY_SECONDS
        work = self.placement.work_of(route.name)
        passed = self.recorder.timer.now() - request.arrived
        return max(route.objective - passed - 2 * work.seconds, 0.0)


def avoid(entry: Entry, instance: ListedInstance, refusal: Refusal) -> None:
    """Avoid an instance that an owner found absent or unreachable."""
    if refusal.code is ResultCode.NO_INSTANCE:
        absences = entry.knowledge.registry.absences
        absences.record(instance.identity, instance.address)
        return
    entry.placement.record_unreachable(instance)
    entry.log.write(
        'instance_avoided',
        instance=instance.identity,
        instance_host=instance.host_address,
        code=refusal.code.name,
        reason=refusal.reason,
        seconds=entry.placement.observed_instance(instance).avoid_seconds,
    )
