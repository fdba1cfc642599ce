"""What the requests of this host cost, relative to the mean of their routes."""

from typing import Final

import attrs

from tanagerbend_admission import CostModel
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.request_lines import RequestState
from tanagerbend_routing import Placement

# Lower bound of a slowdown by which a time is divided.
MIN_SLOWDOWN: Final = 0.1


@attrs.define
class RequestCosts:
    """Costs at instances of typical speed, learned by one entry daemon.

    Parameters
    ==========

    owner : Owner
    placement : Placement
    model : CostModel
    """

    owner: Owner
    placement: Placement
    model: CostModel = attrs.field(factory=CostModel)

    def weight(self, state: RequestState) -> float:
        """Return the expected cost relative to the mean of the route."""
        features = self.owner.features(state.request, state.route.name)
        return self.model.weight(features)

    def observe(self, state: RequestState) -> None:
        """Learn from the time that the last instance took."""
        if state.instance is None or not state.served:
            return
        observed = self.placement.observed_instance(state.instance)
        slowdown = observed.current_slowdown(self.placement.timer.now())
        features = self.owner.features(state.request, state.route.name)
        self.model.observe(features, state.served, max(slowdown, MIN_SLOWDOWN))
