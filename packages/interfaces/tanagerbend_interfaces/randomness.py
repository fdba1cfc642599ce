"""Interface to randomness; ``random.Random`` satisfies it."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

Item = TypeVar('Item')


class Randomness(Protocol):
    """Source of random choices, seeded in tests."""

    def random(self) -> float:
        """Return a number of at least 0 and below 1."""

    def uniform(self, low: float, high: float) -> float:
        """Return a number between the two."""

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """Return ``k`` different items."""

    def choice(self, population: Sequence[Item]) -> Item:
        """Return one item."""
