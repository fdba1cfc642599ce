"""Events of the decision journal."""

import enum
from typing import Final


class Event(enum.StrEnum):
    """Name of a change of state; stable across releases.

    Examples
    ========

    >>> Event.VERSION_ADOPTED == 'version_adopted'
    True
    """

    VERSION_ADOPTED = 'version_adopted'
    VERSION_REJECTED = 'version_rejected'
    VERSION_CONFLICT = 'version_conflict'
    BOOTSTRAPPED = 'bootstrapped'
    READER_ROLE_TAKEN = 'reader_role_taken'
    READER_ROLE_LEFT = 'reader_role_left'
    SERVICE_LOST = 'service_lost'
    SERVICE_AVAILABLE = 'service_available'
    MEMBER_SUSPECTED = 'member_suspected'
    MEMBER_GONE = 'member_gone'
    CLAIM_REFUTED = 'claim_refuted'
    DRAIN_STARTED = 'drain_started'
    DRAIN_ENDED = 'drain_ended'
    FLOOD_STARTED = 'flood_started'
    FLOOD_ENDED = 'flood_ended'


MEANINGS: Final = {
    Event.VERSION_ADOPTED: 'a version is in force at this daemon',
    Event.VERSION_REJECTED: 'a published value is no valid sheet',
    Event.VERSION_CONFLICT: 'two values claim one position in the order',
    Event.BOOTSTRAPPED: 'the daemon left bootstrap with a version',
    Event.READER_ROLE_TAKEN: 'this daemon reads for its failure domain',
    Event.READER_ROLE_LEFT: 'another daemon of the domain reads',
    Event.SERVICE_LOST: 'the configuration service does not answer',
    Event.SERVICE_AVAILABLE: 'the configuration service answers again',
    Event.MEMBER_SUSPECTED: 'no daemon that was asked reaches a member',
    Event.MEMBER_GONE: 'a suspected member was given up',
    Event.CLAIM_REFUTED: 'this daemon refuted that it is unreachable',
    Event.DRAIN_STARTED: 'the instance takes no new work',
    Event.DRAIN_ENDED: 'the instance takes work again',
    Event.FLOOD_STARTED: 'calls are refused for want of capacity',
    Event.FLOOD_ENDED: 'no call was refused for want of capacity lately',
}
