"""What the demo does at a deployment, and stated outcomes."""

import attrs

from tanagerbend_standins.deployments import Deployment


@attrs.frozen
class Script:
    """What the demo does at one deployment.

    Parameters
    ==========

    deployment : Deployment
    work_seconds : float
        Time that each request takes at a stand-in backend server.
    urgent, least : str
        Work of the same service: judged, and flooding, in the first flood.
    flooding : str
        Urgent work of the second flood.
    orders : str
        Work that must not run twice.
    """

    deployment: Deployment
    work_seconds: float
    urgent: str
    least: str
    flooding: str
    orders: str


@attrs.frozen
class Outcome:
    """One stated outcome and what happened.

    Parameters
    ==========

    where, requirement, stated, happened : str
    is_met : bool
    """

    where: str
    requirement: str
    stated: str
    happened: str
    is_met: bool
