"""Random number generator; ``random.Random`` implements the interface."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

Item = TypeVar('Item')


class Randomness(Protocol):
    """Random number generator, seeded in tests."""

    def random(self) -> float:
        """Return a number in the half-open interval from 0 to 1."""

    def uniform(self, low: float, high: float) -> float:
        """Return a number between ``low`` and ``high``."""

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """Return ``k`` items drawn without replacement."""

    def choice(self, population: Sequence[Item]) -> Item:
        """Return one randomly chosen item."""
