"""Operator view of convicted requests and suspects; lifts convictions."""

from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

from tanagerbend_model import ResultCode
from tanagerbend_proxy.suspicions import Suspicions, crash_rows

QUARANTINE_PATH: Final = '/quarantine'
LIFT_METHOD: Final = 'POST'
# Characters of a fingerprint in a reason.
MAX_SHOWN: Final = 64


@attrs.frozen
class QuarantineView:
    """Serves the quarantine at the metrics address of a daemon.

    Parameters
    ==========

    suspicions : Suspicions
    """

    suspicions: Suspicions

    async def answer(self, http: web.BaseRequest) -> web.Response:
        """Return the list; a POST first lifts the named conviction."""
        if http.method == LIFT_METHOD:
            return self._lift(http.query.get('fingerprint', ''))
        return web.json_response(self.rows())

    def rows(self) -> dict[str, Any]:
        """Return the cases of convicted requests and of suspects."""
        cases = self.suspicions.cases
        tables = {'convicted': cases.convicted, 'suspects': cases.suspects}
        return {
            kind: [
                {
                    'fingerprint': told.fingerprint.hex(),
                    'crashes': crash_rows(told.case),
                    'seconds': round(told.seconds, 1),
                }
                for told in cases.cases_to_send(tuple(table))
            ]
            for kind, table in tables.items()
        }

    def _lift(self, fingerprint: str) -> web.Response:
        try:
            key = bytes.fromhex(fingerprint)
        except ValueError:
            key = b''
        if self.suspicions.cases.clear(key):
            self.suspicions.log.write(
                'conviction_lifted',
                fingerprint=fingerprint,
            )
            self.suspicions.spread([key])
            return web.json_response(self.rows())
        return web.json_response(
            {
                'code': int(ResultCode.QUERY_INVALID),
                'reason': f'no case of fingerprint {fingerprint[:MAX_SHOWN]!r}',
            },
            status=HTTPStatus.NOT_FOUND,
        )
