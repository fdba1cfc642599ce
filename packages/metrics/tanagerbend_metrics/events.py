"""Events of the decision journal."""

import enum
from typing import Final


class Event(enum.StrEnum):
    """Name of a state change; stable across releases.

    Examples
    ========

    >>> Event.VERSION_ADOPTED == 'version_adopted'
    True
    """

    VERSION_ADOPTED = 'version_adopted'
    VERSION_REJECTED = 'version_rejected'
    VERSION_CONFLICT = 'version_conflict'
    BOOTSTRAPPED = 'bootstrapped'
    BOOTSTRAPPED_PROVISIONALLY = 'bootstrapped_provisionally'
    READER_ROLE_TAKEN = 'reader_role_taken'
    READER_ROLE_LEFT = 'reader_role_left'
    SERVICE_LOST = 'service_lost'
    SERVICE_AVAILABLE = 'service_available'
    INSTANCE_EJECTED = 'instance_ejected'
    MEMBER_SUSPECTED = 'member_suspected'
    MEMBER_GONE = 'member_gone'
    CLAIM_REFUTED = 'claim_refuted'
    OWN_HOST_TAKEN_OVER = 'own_host_taken_over'
    DRAIN_STARTED = 'drain_started'
    DRAIN_ENDED = 'drain_ended'
    REFUSALS_BEGAN = 'refusals_began'
    REFUSALS_ENDED = 'refusals_ended'
    FLOOD_BEGAN = 'flood_began'
    FLOOD_ENDED = 'flood_ended'
    SHORTAGE_BEGAN = 'shortage_began'
    SHORTAGE_ENDED = 'shortage_ended'
    REQUEST_CONVICTED = 'request_convicted'
    ORDER_STARTED_AGAIN = 'order_started_again'
    PAUSED = 'paused'
    CONTROL_FAULT = 'control_fault'


EVENT_MEANINGS: Final = {
    Event.VERSION_ADOPTED: 'a version is in force at this daemon',
    Event.VERSION_REJECTED: 'a published value is not a valid sheet',
    Event.VERSION_CONFLICT: (
        'two different values have the same position in the version order'
    ),
    Event.BOOTSTRAPPED: (
        'the daemon finished bootstrap with the version of its peers'
    ),
    Event.BOOTSTRAPPED_PROVISIONALLY: (
        'the daemon finished bootstrap without an answer from a serving peer'
    ),
    Event.READER_ROLE_TAKEN: (
        'this daemon reads the configuration service for its failure domain'
    ),
    Event.READER_ROLE_LEFT: (
        'another daemon of the failure domain reads the configuration service'
    ),
    Event.SERVICE_LOST: 'the configuration service does not answer',
    Event.SERVICE_AVAILABLE: 'the configuration service answers again',
    Event.INSTANCE_EJECTED: (
        'this daemon temporarily sends no calls to an instance'
    ),
    Event.MEMBER_SUSPECTED: 'no daemon that was asked can reach a member',
    Event.MEMBER_GONE: 'a suspected member was declared gone',
    Event.CLAIM_REFUTED: 'this daemon refuted a claim that it is unreachable',
    Event.OWN_HOST_TAKEN_OVER: (
        'another process claims the host name of this daemon'
    ),
    Event.DRAIN_STARTED: 'the instance accepts no new work',
    Event.DRAIN_ENDED: 'the instance accepts work again',
    Event.REFUSALS_BEGAN: 'calls are refused for lack of capacity',
    Event.REFUSALS_ENDED: 'no call was refused for lack of capacity recently',
    Event.FLOOD_BEGAN: 'the work of a rank alone exceeds all slots',
    Event.FLOOD_ENDED: 'the work of a rank fits its slots again',
    Event.SHORTAGE_BEGAN: 'other ranks leave a rank too few slots',
    Event.SHORTAGE_ENDED: 'a rank has enough slots again',
    Event.REQUEST_CONVICTED: 'a request crashed backend servers twice',
    Event.ORDER_STARTED_AGAIN: 'an order was sent to the backend server twice',
    Event.PAUSED: 'the process did not run for some seconds',
    Event.CONTROL_FAULT: (
        'an exception ended a control task, which restarts, or the answer to'
        ' a control message'
    ),
}
