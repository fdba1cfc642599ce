"""Records what the outcome of a placing tells about its instance."""

from typing import Final

import attrs

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.calls import OVERLOAD_CODES
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.messages import Answer, Outcome
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.request_costs import RequestCosts
from tanagerbend_proxy.request_lines import RequestState
from tanagerbend_proxy.results import SERVER_ERROR, count_placing
from tanagerbend_routing import ListedInstance, Placement

KILOBYTE: Final = 1024
# Refusals that say nothing about the capacity of an instance.
NEUTRAL_CODES: Final = frozenset(
    (
        ResultCode.RETRY_BUDGET_SPENT,
        ResultCode.REQUEST_CRASHES_BACKEND,
        ResultCode.CALLED_SERVICE_FULL,
    ),
)


@attrs.define
class OutcomeRecorder:
    """Updates the states of a request and of its instance.

    Parameters
    ==========

    placement : Placement
    owner : Owner
    knowledge : DeploymentState
    log : DecisionLog
    costs : RequestCosts
    """

    placement: Placement
    owner: Owner
    knowledge: DeploymentState
    log: DecisionLog
    costs: RequestCosts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.costs = RequestCosts(self.owner, self.placement)

    def apply(
        self,
        state: RequestState,
        instance: ListedInstance,
        outcome: Outcome,
    ) -> None:
        """Update the request state and the known load of an instance."""
        state.tried |= {instance.identity}
        count_placing(state, outcome)
        self._merge_evidence(state, outcome.evidence)
        if outcome.load is not None:
            rank = state.route.rank
            self.placement.record_report(instance, rank, outcome.load)
            state.served = outcome.load.service_seconds
        match outcome.result:
            case Answer():
                self._apply_answer(state, instance, outcome.result)
            case Refusal():
                self._apply_refusal(
                    state,
                    instance,
                    outcome.result,
                    has_load=outcome.load is not None,
                )

    def _apply_answer(
        self, state: RequestState, instance: ListedInstance, answer: Answer
    ) -> None:
        state.last = answer
        self.owner.suspicions.succeeded(state.request)
        if answer.status >= SERVER_ERROR:
            self.placement.record_failure(instance)
            return
        self._log_recovery(instance)
        self.costs.observe(state)
        self.placement.record_answer(
            instance,
            state.route.name,
            state.served,
            len(answer.body) / KILOBYTE,
        )

    def _merge_evidence(self, state: RequestState, evidence: str) -> None:
        if evidence:
            state.has_crash_evidence = True
            self.owner.suspicions.merge_evidence(evidence)

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
            self._avoid(instance, refusal)

    def _log_recovery(self, instance: ListedInstance) -> None:
        if self.placement.observed_instance(instance).avoid_seconds:
            self.log.write(
                'instance_back',
                instance=instance.identity,
                instance_host=instance.host_address,
            )

    def _avoid(self, instance: ListedInstance, refusal: Refusal) -> None:
        """Avoid an instance that an owner found absent or unreachable."""
        if refusal.code is ResultCode.NO_INSTANCE:
            absences = self.knowledge.registry.absences
            absences.record(instance.identity, instance.address)
            return
        self.placement.record_unreachable(instance)
        self.log.write(
            'instance_avoided',
            instance=instance.identity,
            instance_host=instance.host_address,
            code=refusal.code.name,
            reason=refusal.reason,
            seconds=self.placement.observed_instance(instance).avoid_seconds,
        )
