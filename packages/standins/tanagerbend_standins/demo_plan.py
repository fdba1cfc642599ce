"""Plan of the demo at one deployment, and its outcomes."""

import attrs

from tanagerbend_standins.deployments import Deployment


@attrs.frozen
class DemoPlan:
    """Load that the demo sends to one deployment.

    Parameters
    ==========

    deployment : Deployment
    work_seconds : float
        Processing time of each request at a stand-in backend server.
    urgent_work, least_urgent_work : str
        Work of one service.  In the first flood the least urgent work
        floods, and the urgent work must still meet its target.
    flooding_work : str
        Urgent work that floods in the second flood.
    order_work : str
        Work that must not run twice.
    """

    deployment: Deployment
    work_seconds: float
    urgent_work: str
    least_urgent_work: str
    flooding_work: str
    order_work: str


@attrs.frozen
class Outcome:
    """Expected outcome and what was observed.

    Parameters
    ==========

    deployment_name : str
    requirement : str
        Identifier of the requirement on the design page.
    expected, observed : str
    is_met : bool
    """

    deployment_name: str
    requirement: str
    expected: str
    observed: str
    is_met: bool
