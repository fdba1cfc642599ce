"""Token bucket that keeps retries from amplifying an overload."""

from typing import Final

TOKENS_PER_FIRST_ATTEMPT: Final = 0.1
# Capacity of the bucket of a service, and its initial content.  It lets a
# daemon that sends few calls retry those that were at a lost instance.
MAX_TOKENS: Final = 10.0
# Tokens that only lost calls may use.  Without them, the refused calls of a
# flood would leave no retries for the calls of a daemon that dies.
TOKENS_RESERVED_FOR_LOST: Final = 4.0


class RetryBudget:
    """Allows retries for 10% of the first attempts of each service.

    Examples
    ========

    >>> budget = RetryBudget()
    >>> sum(budget.take_retry('order') for _ in range(50))
    6
    >>> sum(budget.take_retry('order', is_lost=True) for _ in range(50))
    4
    >>> for _ in range(55):
    ...     budget.record_first_attempt('order')
    >>> sum(budget.take_retry('order', is_lost=True) for _ in range(50))
    5
    """

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}

    def record_first_attempt(self, service: str) -> None:
        """Add the tokens that a first attempt earns."""
        tokens = self.tokens.get(service, MAX_TOKENS)
        self.tokens[service] = min(
            tokens + TOKENS_PER_FIRST_ATTEMPT, MAX_TOKENS
        )

    def take_retry(self, service: str, *, is_lost: bool = False) -> bool:
        """Spend the token of one retry; return False if there is none.

        ``is_lost`` says that the call got no answer, not even a refusal.
        """
        tokens = self.tokens.get(service, MAX_TOKENS)
        reserved = 0 if is_lost else TOKENS_RESERVED_FOR_LOST
        if tokens < 1 + reserved:
            return False
        self.tokens[service] = tokens - 1
        return True

    def retain(self, services: frozenset[str]) -> None:
        """Remove the buckets of services that have no route any more."""
        for service in self.tokens.keys() - services:
            self.tokens.pop(service)
