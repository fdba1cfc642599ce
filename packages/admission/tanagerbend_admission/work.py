"""Resources that a request needs: slot time and link capacity."""

import attrs

from tanagerbend_admission.cost import CostEstimate, Features


@attrs.frozen
class Work:
    """A request that asks for a slot.

    Parameters
    ==========

    kind : str
        Key of the service time estimate; requests of one kind take similar
        times.
    rank : int
        0 is the most urgent.
    on_time_until, deadline : float
        Monotonic seconds after which an answer is late, and after which
        the caller no longer waits for it.
    size, size_deviation : float
        Expected size of the answer in bytes, and its mean deviation.
    features : Features or None
        What is known of the request; None if only its kind is.
    estimate : CostEstimate or None
        Estimated when the request arrived; None to estimate it when needed.
    """

    kind: str
    rank: int
    on_time_until: float
    deadline: float
    size: float = 0.0
    size_deviation: float = 0.0
    features: Features | None = None
    estimate: CostEstimate | None = attrs.field(
        default=None, eq=False, repr=False
    )

    @property
    def known_features(self) -> Features:
        """The features, those of the kind if there are no others."""
        return self.features or Features(self.kind)
