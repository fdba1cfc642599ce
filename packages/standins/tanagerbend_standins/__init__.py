"""Stand-ins for the platform and backend servers, for tests and the demo."""

from tanagerbend_standins.backend import StandinBackend
from tanagerbend_standins.behaviour import Behaviour, OverloadResponse
from tanagerbend_standins.caller import Caller, Reply
from tanagerbend_standins.deployments import DEPLOYMENTS, Deployment
from tanagerbend_standins.fleet import Fleet, Node, Placement, wait_until
from tanagerbend_standins.platform import Faults, StandinPlatform

__all__ = (
    'DEPLOYMENTS',
    'Behaviour',
    'Caller',
    'Deployment',
    'Faults',
    'Fleet',
    'Node',
    'OverloadResponse',
    'Placement',
    'Reply',
    'StandinBackend',
    'StandinPlatform',
    'wait_until',
)
