"""Poll of another daemon for changes, and its encoding."""

import json
from typing import Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_model.addresses import MAX_WIRE_NUMBER
from tanagerbend_proxy.changes import MALFORMED_ERRORS
from tanagerbend_proxy.messages import finite_float, integer_in_range
from tanagerbend_proxy.positions import StorePosition
from tanagerbend_proxy.ranges import MAX_IDENTITY_LENGTH

# Order of the fields in the header of a poll.
POLL_FIELDS: Final = (
    'revision',
    'version',
    'wait',
    'host',
    'speed',
    'is_reader',
)


@attrs.frozen
class PollRequest:
    """Poll of a peer for changes.

    Parameters
    ==========

    position : StorePosition
        Up to which the sender holds all changes of instances.
    version : int
        Configuration version in force at the sender.
    wait : float
        Seconds to wait for a change.
    host : str
        Identity of the instance on the host of the sender.
    speed : float
        Speed at which the sender reads the service, in bytes per second;
        0 if unknown.
    is_reader : bool
        Whether the sender has been told that the peer is the reader.
    knows_eras : bool
        Whether the sender states an era; earlier releases know none.
    """

    position: StorePosition
    version: int
    wait: float
    host: str
    speed: float
    is_reader: bool = False
    knows_eras: bool = True

    def encode(self) -> str:
        """Return the value of the header, which does not hold the era.

        Daemons of earlier releases refuse a poll with unknown fields.
        """
        return json.dumps(
            (
                self.position.revision,
                self.version,
                self.wait,
                self.host,
                self.speed,
                self.is_reader,
            )
        )

    def encode_era(self) -> str:
        """Return the value of the header that holds the era."""
        return str(self.position.era)

    @classmethod
    def decode(cls, text: str, era: str = '') -> 'PollRequest | Refusal':
        """Decode the headers of another daemon.

        Daemons of earlier releases state no era, which is then 0.
        """
        try:
            by_name = dict(zip(POLL_FIELDS, json.loads(text), strict=True))
            if len(by_name['host']) > MAX_IDENTITY_LENGTH:
                raise ValueError('identity out of range')
            return cls(
                StorePosition(
                    integer_in_range(int(era or 0), MAX_WIRE_NUMBER),
                    integer_in_range(by_name['revision'], MAX_WIRE_NUMBER),
                ),
                integer_in_range(by_name['version'], MAX_WIRE_NUMBER),
                finite_float(by_name['wait']),
                str(by_name['host']),
                finite_float(by_name['speed']),
                bool(by_name['is_reader']),
                knows_eras=bool(era),
            )
        except MALFORMED_ERRORS as error:
            return Refusal(ResultCode.HEADER_INVALID, f'poll request: {error}')
