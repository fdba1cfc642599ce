"""Bounds the parsing of received bytes in one turn of the event loop."""

import asyncio
from typing import Final, Protocol

import attrs

# The time that the parser takes grows with the lines of its input: a field of
# a head and a chunk of a body take one or two.  A thousand lines take about
# two milliseconds on the processor share of a small host.
MAX_LINES_PER_TURN: Final = 1024
# Input of fewer lines is parsed at once, such as the head of most requests.
MAX_LINES_AT_ONCE: Final = 64


@attrs.frozen
class Piece:
    """Received bytes and the number of line ends in them."""

    received: bytes
    lines: int


def split_input(received: bytes) -> list[Piece]:
    """Split received bytes into pieces that each fit into a turn.

    Examples
    ========

    >>> [len(piece.received) for piece in split_input(bytes(9000))]
    [9000]
    >>> chunks = bytes((49, 10, 120, 10)) * 1024
    >>> [piece.lines for piece in split_input(chunks)]
    [1024, 1024]
    """
    lines = received.count(b'\n')
    count = -(-lines // MAX_LINES_PER_TURN) or 1
    size = -(-len(received) // count) or 1
    parts = (
        received[begin : begin + size]
        for begin in range(0, len(received), size)
    )
    return [Piece(part, part.count(b'\n')) for part in parts]


class QueuedInput(Protocol):
    """A connection with received bytes that wait to be parsed."""

    def parse_next(self) -> int:
        """Parse a piece; return the number of its lines."""

    @property
    def can_parse(self) -> bool:
        """Whether a piece waits and its connection takes it."""


class ParseQueue:
    """Lets connections parse in turns, a bounded number of lines each turn.

    Without it, a connection that sends chunks of one byte keeps the event
    loop from all others for a tenth of a second with each read.
    """

    def __init__(self) -> None:
        # Ordered; the values are not used.
        self.waiting: dict[QueuedInput, None] = {}
        self.is_scheduled = False

    def add(self, connection: QueuedInput) -> None:
        """Queue a connection, once only."""
        self.waiting.setdefault(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_turn)

    def run_turn(self) -> None:
        """Parse pieces of the first connections, up to the limit."""
        self.is_scheduled = False
        lines_left = MAX_LINES_PER_TURN
        while self.waiting and lines_left > 0:
            connection = next(iter(self.waiting))
            self.waiting.pop(connection)
            if connection.can_parse:
                # An empty piece counts, so that the loop ends.
                lines_left -= max(connection.parse_next(), 1)
            if connection.can_parse:
                self.waiting.setdefault(connection)
        self._schedule()
