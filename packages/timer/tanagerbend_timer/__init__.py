"""Timer service that the other packages subscribe to."""

from tanagerbend_timer.manual import ManualTimer
from tanagerbend_timer.service import SystemTimer, Timer
from tanagerbend_timer.subscription import Subscription, combine_callbacks

__all__ = (
    'ManualTimer',
    'Subscription',
    'SystemTimer',
    'Timer',
    'combine_callbacks',
)
