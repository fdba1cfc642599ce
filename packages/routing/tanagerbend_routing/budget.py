"""Budget that keeps retries from adding to an overload."""

from typing import Final

RETRY_SHARE: Final = 0.1
# Retries that a service may save up, and starts with: a daemon that sends
# few calls could otherwise not retry the ones that a lost instance held.
MOST_SAVED: Final = 10.0
# Saved retries that only lost calls may use.  A flood, whose refused calls
# use up the rest, would otherwise leave none for a daemon that dies.
RESERVED_FOR_LOST: Final = 4.0


class RetryBudget:
    """Allows retries for 10% of the first attempts of each service.

    Examples
    ========

    >>> budget = RetryBudget()
    >>> sum(budget.may_retry('order') for _ in range(50))
    6
    >>> sum(budget.may_retry('order', is_lost=True) for _ in range(50))
    4
    >>> for _ in range(55):
    ...     budget.first_attempt('order')
    >>> sum(budget.may_retry('order', is_lost=True) for _ in range(50))
    5
    """

    def __init__(self) -> None:
        self.saved: dict[str, float] = {}

    def first_attempt(self, service: str) -> None:
        """Count a first attempt."""
        saved = self.saved.get(service, MOST_SAVED)
        self.saved[service] = min(saved + RETRY_SHARE, MOST_SAVED)

    def may_retry(self, service: str, *, is_lost: bool = False) -> bool:
        """Spend a retry; False if none is left.

        ``is_lost`` says that the call got no answer, not even a refusal.
        """
        saved = self.saved.get(service, MOST_SAVED)
        reserved = 0 if is_lost else RESERVED_FOR_LOST
        if saved < 1 + reserved:
            return False
        self.saved[service] = saved - 1
        return True

    def retain(self, services: frozenset[str]) -> None:
        """Forget the services that are no longer routed."""
        for service in self.saved.keys() - services:
            self.saved.pop(service)
