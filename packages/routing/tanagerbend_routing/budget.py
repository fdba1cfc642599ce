"""Budget that keeps retries from adding to an overload."""

from typing import Final

RETRY_SHARE: Final = 0.1
# Retries that a service may save up, and starts with: a daemon that sends
# few calls could otherwise not retry the ones that a lost instance held.
MOST_SAVED: Final = 10.0


class RetryBudget:
    """Allows retries for 10% of the first attempts of each service.

    Examples
    ========

    >>> budget = RetryBudget()
    >>> sum(budget.may_retry('order') for _ in range(50))
    10
    >>> for _ in range(55):
    ...     budget.first_attempt('order')
    >>> sum(budget.may_retry('order') for _ in range(50))
    5
    """

    def __init__(self) -> None:
        self.saved: dict[str, float] = {}

    def first_attempt(self, service: str) -> None:
        """Count a first attempt."""
        saved = self.saved.get(service, MOST_SAVED)
        self.saved[service] = min(saved + RETRY_SHARE, MOST_SAVED)

    def may_retry(self, service: str) -> bool:
        """Spend a retry; False if none is left."""
        saved = self.saved.get(service, MOST_SAVED)
        if saved < 1:
            return False
        self.saved[service] = saved - 1
        return True

    def retain(self, services: frozenset[str]) -> None:
        """Forget the services that are no longer routed."""
        for service in self.saved.keys() - services:
            self.saved.pop(service)
