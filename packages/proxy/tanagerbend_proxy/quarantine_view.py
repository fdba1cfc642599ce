"""What operators see of requests that end instances, and what they lift."""

from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

from tanagerbend_model import ResultCode
from tanagerbend_proxy.suspicions import Suspicions, listed

PATH: Final = '/quarantine'
LIFT: Final = 'POST'
# Characters of a fingerprint that a reason shows.
MOST_SHOWN: Final = 64


@attrs.frozen
class QuarantineView:
    """Answers operators at the metrics address of a daemon.

    Parameters
    ==========

    suspicions : Suspicions
    """

    suspicions: Suspicions

    async def answer(self, http: web.BaseRequest) -> web.Response:
        """Return the list, or lift the conviction that a request names."""
        if http.method == LIFT:
            return self._lift(http.query.get('fingerprint', ''))
        return web.json_response(self.rows())

    def rows(self) -> dict[str, Any]:
        """Return convicted requests and suspects."""
        cases = self.suspicions.cases
        names = {'convicted': cases.convicts, 'suspects': cases.suspects}
        return {
            kind: [
                {
                    'fingerprint': told.fingerprint.hex(),
                    'crashes': listed(told.case),
                    'seconds': round(told.seconds, 1),
                }
                for told in cases.told(tuple(table))
            ]
            for kind, table in names.items()
        }

    def _lift(self, fingerprint: str) -> web.Response:
        try:
            name = bytes.fromhex(fingerprint)
        except ValueError:
            name = b''
        if self.suspicions.cases.lift(name):
            self.suspicions.log.write(
                'conviction_lifted',
                fingerprint=fingerprint,
            )
            self.suspicions.spread([name])
            return web.json_response(self.rows())
        return web.json_response(
            {
                'code': int(ResultCode.QUERY_INVALID),
                'reason': f'no case of {fingerprint[:MOST_SHOWN]!r}',
            },
            status=HTTPStatus.NOT_FOUND,
        )
