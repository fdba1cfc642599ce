"""Entry side: route, choice of an instance, sending again, refusing."""

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
from tanagerbend_proxy.ends import (
    ENDS_INSTANCES,
    SERVER_ERROR,
    final_end,
    forbidden,
    no_place,
)
from tanagerbend_proxy.exchange import Outgoing, send
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_proxy.link_use import PLACED, LinkUse
from tanagerbend_proxy.messages import (
    Answer,
    Outcome,
    Placed,
    Request,
)
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.repeats import CERTAIN
from tanagerbend_proxy.suspicions import Suspicions
from tanagerbend_proxy.request_lines import RequestLines, RequestState
from tanagerbend_proxy.terms import Terms
from tanagerbend_routing import (
    ListedInstance,
    Placement,
    PrefixRoute,
)

KILOBYTE: Final = 1024
# Owners that are asked for a request; a refusal of an owner costs one
# round trip and no work of an instance.
MOST_PLACEMENTS: Final = 3
# Kept back at this daemon, so that the answer of the owner is read before
# the caller's time is over.
RETURN_SECONDS: Final = 0.02
# The owner answers within the time that it was given; after this much
# more its answer is lost.
OWNER_SLACK_SECONDS: Final = 0.06
LEAST_SECONDS: Final = 0.005
# Callers honour a time to come back of a third of what they have left.
HONOURED_PART: Final = 3
# Refused callers come back spread over this part of the time and later.
LEAST_SPREAD: Final = 0.3
# Time to come back where nothing is known of the request.
UNKNOWN_RETURN_SECONDS: Final = 1.0
# Refusals that tell nothing of what an instance can take.
TELLS_NOTHING: Final = frozenset(
    (ResultCode.RETRY_BUDGET_SPENT, ResultCode.REQUEST_CRASHES_BACKEND),
)
BUSY: Final = frozenset(
    (
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.DEADLINE_PASSED,
    )
)


@attrs.define
class Entry:
    """Serves the requests of the callers on this host.

    Parameters
    ==========

    terms : Terms
    knowledge : Knowledge
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

    terms: Terms
    knowledge: Knowledge
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
        self.placement.own_address = self.terms.instance_address
        self.placement.sending = self.owner.uplink.seconds_for
        self.placement.own_free = self.owner.free_slots

    async def handle(self, request: Request) -> Answer | Refusal:
        """Answer a request, or refuse it with a reason."""
        route = self._match(request)
        match route:
            case Refusal():
                return route
        state = self._state(request, route)
        state.caused = self.owner.repeats.requested(state.service, request)
        try:
            end = self.suspicions.refuse(request)
            if end is not None:
                state.stopped_by = ENDS_INSTANCES
            end = end or self._refuse_behind(state)
            if end is None:
                end = await self._try_instances(state)
        except asyncio.CancelledError:
            self.lines.add('request_left', state)
            self.lines.write('request_left', state)
            raise
        finally:
            if state.is_accused:
                self.suspicions.pass_on(request)
        match end:
            case Refusal():
                self._refused(state, end)
            case Answer(status=status):
                self._answered(state, status)
        return end

    def _state(self, request: Request, route: PrefixRoute) -> RequestState:
        patience = self.placement.on_time_in(route, request.time_left)
        return RequestState(
            request,
            route,
            route.pick_service(self.random),
            min(request.arrived + route.timeout, request.deadline),
            request.arrived + patience,
        )

    def _refused(self, state: RequestState, refusal: Refusal) -> None:
        self.recorder.count(REFUSALS, refusal.code.name)
        self.lines.add('request_refused', state, refusal)
        self.lines.write(refusal.code.name, state)

    def _match(self, request: Request) -> PrefixRoute | Refusal:
        configuration = self.knowledge.configuration
        if configuration is None:
            reason = 'no configuration is known yet'
            return Refusal(ResultCode.NO_CONFIGURATION, reason)
        route = configuration.match(request.host, request.path)
        match route:
            case Refusal():
                self.lines.refuse_without_route(request, route)
        return route

    def refuse_early(self, request: Request) -> Refusal | None:
        """Refuse a request without its body, None if it may be served."""
        route = self._match(request)
        match route:
            case Refusal():
                return route
        state = self._state(request, route)
        refusal = self._refuse_behind(state)
        if not self.knowledge.registry.usable(state.service):
            refusal = no_place(self.knowledge.registry, state.service)
        if refusal is not None:
            self._refused(state, refusal)
        return refusal

    def _refuse_behind(self, state: RequestState) -> Refusal | None:
        """Refuse at once what this daemon itself is too slow for."""
        left = state.deadline - self.recorder.timer.now()
        work = self.placement.work_of(state.route.name).seconds
        return self.owner.delay.refuse(work, left)

    def _answered(self, state: RequestState, status: int) -> None:
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
            # Served on time at the first try.
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
                state.stopped_by = 'no other instance takes it now'
                break
            state.placed += 1
            state.instance = instance
            outcome = await self._place(state, instance)
            self._learn(state, instance, outcome)
            state.stopped_by = self._reason_to_stop(state, outcome)
            if not state.stopped_by and state.placed >= MOST_PLACEMENTS:
                state.stopped_by = f'{MOST_PLACEMENTS} owners were asked'
            if state.stopped_by:
                break
            self.lines.sent_again(state, outcome.end)
        return final_end(state, self.knowledge.registry)

    async def _place(
        self,
        state: RequestState,
        instance: ListedInstance,
    ) -> Outcome:
        """Ask the owner of an instance to run the request."""
        now = self.recorder.timer.now()
        left = state.deadline - now - RETURN_SECONDS
        if left < LEAST_SECONDS:
            reason = 'no time is left to reach an instance'
            return Outcome(Refusal(ResultCode.DEADLINE_PASSED, reason))
        placed = Placed(
            instance.identity,
            state.route.name,
            state.route.rank,
            state.route.repeat,
            state.on_time_until - now,
            left,
            CERTAIN if state.offered else state.caused,
            self.suspicions.evidence(state.request),
        )
        self.placement.asked(instance, placed.route)
        load = self.placement.of(instance).of_rank(state.route.rank)
        load.outstanding += 1
        try:
            if instance.address == self.terms.instance_address:
                return await self.owner.run(state.request, placed)
            return await self._place_elsewhere(state, instance, placed)
        finally:
            load.outstanding -= 1

    async def _place_elsewhere(
        self,
        state: RequestState,
        instance: ListedInstance,
        placed: Placed,
    ) -> Outcome:
        """Ask the owner on another host, with time to send the answer on."""
        size = self.placement.work_of(placed.route).size
        uplink = self.owner.uplink
        sending = uplink.seconds_for(size)
        told = attrs.evolve(
            placed,
            on_time=placed.on_time - sending,
            time_left=placed.time_left - sending,
        )
        least = uplink.least_seconds_for(size, placed.rank)
        if least > placed.time_left:
            reason = f'the link of this host is taken for {least:.3f} s'
            return Outcome(Refusal(ResultCode.DEADLINE_UNREACHABLE, reason))
        # The answer may be smaller, so that it's worth waiting for longer.
        limit = placed.time_left + OWNER_SLACK_SECONDS
        with uplink.expecting(size, placed.rank):
            return await self._forward(state.request, instance, told, limit)

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
        address = f'{instance.host_address}:{self.terms.peer_port}'
        end = await send(
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
        match end:
            case Refusal():
                return Outcome(end, is_offered=end.ran is not Ran.NO)
        self.link.received(PLACED, len(end.body))
        told = end.headers.pop(own_headers.OUTCOME, '')
        evidence = end.headers.pop(own_headers.CRASHES, '')
        return Outcome.decode(told, end, evidence)

    def _learn(
        self,
        state: RequestState,
        instance: ListedInstance,
        outcome: Outcome,
    ) -> None:
        """Take what an outcome tells of the instance."""
        state.tried |= {instance.identity}
        state.offered += outcome.is_offered
        if outcome.evidence:
            state.is_accused = True
            self.suspicions.take(outcome.evidence)
        if outcome.load is not None:
            rank = state.route.rank
            self.placement.reported(instance, rank, outcome.load)
            state.served = outcome.load.served
        match outcome.end:
            case Answer(status=status, body=body):
                state.last = outcome.end
                self.suspicions.succeeded(state.request)
                if status >= SERVER_ERROR:
                    self.placement.failed(instance)
                    return
                self._note_back(instance)
                self.placement.served(
                    instance,
                    state.route.name,
                    state.served,
                    len(body) / KILOBYTE,
                )
            case Refusal():
                is_told = outcome.load is not None
                self._learn_refusal(
                    state,
                    instance,
                    outcome.end,
                    is_told=is_told,
                )

    def _learn_refusal(
        self,
        state: RequestState,
        instance: ListedInstance,
        refusal: Refusal,
        *,
        is_told: bool,
    ) -> None:
        """Take a refusal; ``is_told`` if the owner said its load with it."""
        state.has_run |= refusal.ran is not Ran.NO
        if not isinstance(state.last, Answer):
            state.last = refusal
        if refusal.ran is Ran.UNKNOWN or (
            refusal.code is ResultCode.BACKEND_SHED_LOAD
        ):
            self.placement.failed(instance)
        elif refusal.code in TELLS_NOTHING:
            return
        elif refusal.code in BUSY:
            # A refusal of this daemon itself tells nothing of the instance.
            if is_told:
                work = self.placement.work_of(state.route.name)
                rank = state.route.rank
                self.placement.full(instance, rank, is_large=work.is_large)
        else:
            self.placement.unreachable(instance)
            self.log.write(
                'instance_avoided',
                instance=instance.identity,
                instance_host=instance.host_address,
                code=refusal.code.name,
                reason=refusal.reason,
                seconds=self.placement.of(instance).avoid_seconds,
            )

    def _note_back(self, instance: ListedInstance) -> None:
        if self.placement.of(instance).avoid_seconds:
            self.log.write(
                'instance_back',
                instance=instance.identity,
                instance_host=instance.host_address,
            )

    def _reason_to_stop(self, state: RequestState, outcome: Outcome) -> str:
        """Return why the request is not sent again, empty if it is."""
        now = self.recorder.timer.now()
        reason = forbidden(outcome.end, state.route.repeat)
        if reason:
            return reason
        if state.deadline - now < self._useful_seconds(state):
            return 'too little time is left'
        match outcome.end:
            case Refusal(ran=Ran.NO) if not outcome.is_offered:
                return ''
        if state.offered >= state.route.most_attempts:
            return 'the route allows no more attempts'
        if self.owner.repeats.take(state.service, outcome.end):
            return ''
        return 'the budget of repeats is spent'

    def _useful_seconds(self, state: RequestState) -> float:
        """Return the time below which sending once more is of no use."""
        typical = self.placement.work_of(state.route.name).seconds
        return RETURN_SECONDS + max(LEAST_SECONDS, typical / 2)

    def route_of(self, request: Request) -> PrefixRoute | None:
        """Return the route of a request, None without one."""
        configuration = self.knowledge.configuration
        if configuration is None:
            return None
        route = configuration.match(request.host, request.path)
        return None if isinstance(route, Refusal) else route

    def retry_after(self, request: Request) -> float:
        """Return the seconds after which a refused caller comes back.

        It comes back while an answer on time is still possible; the
        caller honours a third of the time that it has left.
        """
        now = self.recorder.timer.now()
        left = request.deadline - now
        if not math.isfinite(left):
            return UNKNOWN_RETURN_SECONDS
        spread = LEAST_SPREAD + (1 - LEAST_SPREAD) * self.random.random()
        longest = left / HONOURED_PART
        wait = spread * min(longest, self._spare_seconds(request))
        # Not before this daemon has caught up.
        least = min(self.owner.delay.of_request, longest)
        return max(wait, least, LEAST_SECONDS)

    def _spare_seconds(self, request: Request) -> float:
        """Return how long a caller may stay away and still be on time."""
        route = self.route_of(request)
        if route is None:
            return UNKNOWN_RETURN_SECONDS
        work = self.placement.work_of(route.name)
        passed = self.recorder.timer.now() - request.arrived
        return max(route.objective - passed - 2 * work.seconds, 0.0)
