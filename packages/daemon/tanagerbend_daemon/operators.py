"""HTTP endpoints for operators, on an address of their own."""

import math
import secrets
from http import HTTPStatus
from typing import Final

import attrs
from aiohttp import web
from aiohttp.typedefs import Handler
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST

from tanagerbend_daemon import explanations, views
from tanagerbend_daemon.assembly import Parts
from tanagerbend_daemon.floods import PERIOD_SECONDS, FloodWatch
from tanagerbend_metrics import expose
from tanagerbend_model import Refusal, ResultCode

BEARER: Final = 'Bearer '
# The only path without a token: it shows only that the process answers,
# and load balancers that probe it should not hold secrets.
UNAUTHENTICATED_PATH: Final = '/health'
# Reason of a drain that an operator requested.
OPERATOR_DRAIN_REASON: Final = 'operator'
# The host list and the backend server have drain reasons of their own.
OPERATOR_DRAIN_REASON: Final = 'operator'


class OperatorServer:
    """HTTP endpoints for operators and for the command ``tanagerbend``.

    Explanation
    ===========

    Every path but ``/health`` needs ``Authorization: Bearer TOKEN``.
    Answers are JSON, except ``/metrics`` and ``/sheet``; a refusal has
    ``code``, ``name``, ``reason`` and ``ran``.

    Parameters
    ==========

    parts : Parts
    """

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self.floods = FloodWatch(
            parts.recorder,
            parts.settings.host.service,
        )
        self.runner: web.AppRunner | None = None

    def application(self) -> web.Application:
        """Return the application with all paths."""
        application = web.Application(middlewares=[self.check_token])
        application.add_routes(
            (
                web.get(UNAUTHENTICATED_PATH, self.health),
                web.get('/ready', self.ready),
                web.get('/status', self.status),
                web.get('/roster', self.roster),
                web.get('/metrics', self.metrics),
                web.get('/histograms', self.histograms),
                web.get('/counters', self.counters),
                web.get('/journal', self.journal),
                web.get('/explain', self.explain),
                web.get('/order', self.order),
                web.get('/sheet', self.sheet),
                web.post('/drain', self.drain),
                web.post('/undrain', self.undrain),
            ),
        )
        return application

    async def start(self, address: str, port: int) -> str:
        """Listen; return ``address:port``."""
        self.runner = web.AppRunner(
            self.application(),
            access_log=None,
            shutdown_timeout=1.0,
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, address, port).start()
        bound = self.runner.addresses[0]
        return f'{bound[0]}:{bound[1]}'

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def check_token(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Refuse requests without the token of the settings."""
        given = request.headers.get('Authorization', '')
        expected = BEARER + self.parts.settings.operators.token
        if request.path == UNAUTHENTICATED_PATH or secrets.compare_digest(
            given.encode(errors='surrogateescape'),
            expected.encode(),
        ):
            return await handler(request)
        reason = 'the operator token is missing or wrong'
        refusal = Refusal(ResultCode.TOKEN_REQUIRED, reason)
        return self.refuse(refusal, HTTPStatus.UNAUTHORIZED)

    def refuse(self, refusal: Refusal, http_status: int) -> web.Response:
        """Answer with a refusal and count it."""
        self.parts.recorder.count('refusals', refusal.code.name)
        return web.json_response(
            {
                'code': int(refusal.code),
                'name': refusal.code.name,
                'reason': refusal.reason,
                'ran': refusal.ran.value,
            },
            status=http_status,
        )

    async def health(self, _request: web.Request) -> web.Response:
        """Answer that the process is running."""
        return web.json_response({'up': True})

    async def ready(self, _request: web.Request) -> web.Response:
        """Answer 200 if calls are accepted, otherwise 503 with the reasons."""
        reasons = views.reasons_not_ready(self.parts)
        return web.json_response(
            {'ready': not reasons, 'reasons': reasons},
            status=HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK,
        )

    async def status(self, _request: web.Request) -> web.Response:
        """Answer with the state of the daemon."""
        return web.json_response(views.status(self.parts))

    async def roster(self, _request: web.Request) -> web.Response:
        """Answer with all member records."""
        return web.json_response({'members': views.roster(self.parts)})

    async def metrics(self, _request: web.Request) -> web.Response:
        """Answer with the metrics in the Prometheus text format."""
        return web.Response(
            body=await expose(self.parts.recorder, views.gauges(self.parts)),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )

    async def histograms(self, _request: web.Request) -> web.Response:
        """Answer with all histograms, encoded for merging."""
        encoded = self.parts.recorder.histograms.encode_all()
        return web.json_response(
            {'histograms': [attrs.asdict(entry) for entry in encoded]},
        )

    async def counters(self, _request: web.Request) -> web.Response:
        """Answer with the counters and the refusals of each minute."""
        counts = self.parts.recorder.counters.by_name()
        minutes = [
            attrs.asdict(minute) for minute in self.floods.history.minutes
        ]
        return web.json_response({'counters': counts, 'refusals': minutes})

    async def journal(self, request: web.Request) -> web.Response:
        """Answer with the entries since ``?since=`` epoch seconds."""
        text = request.query.get('since', '0')
        since = _parse_finite(text)
        if since is None:
            refusal = Refusal(ResultCode.QUERY_INVALID, f'since: {text!r}')
            return self.refuse(refusal, HTTPStatus.BAD_REQUEST)
        return web.json_response(
            {
                'host': self.parts.roster.own_host,
                'entries': [
                    attrs.asdict(entry)
                    for entry in self.parts.recorder.journal.entries
                    if entry.wall >= since
                ],
            },
        )

    async def explain(self, request: web.Request) -> web.Response:
        """Answer with the sheet row and the instances for a request."""
        found = explanations.explain(
            self.parts,
            request.query.get('service', ''),
            request.query.get('method', 'GET'),
            request.query.get('path', '/'),
        )
        match found:
            case Refusal():
                return self.refuse(found, HTTPStatus.NOT_FOUND)
        return web.json_response(found)

    async def order(self, request: web.Request) -> web.Response:
        """Answer with the owner and the outcome of the order key ``?key=``."""
        found = explanations.explain_order(
            self.parts,
            request.query.get('key', ''),
        )
        match found:
            case Refusal():
                return self.refuse(found, HTTPStatus.NOT_FOUND)
        return web.json_response(found)

    async def sheet(self, _request: web.Request) -> web.Response:
        """Answer with the bytes of the sheet in force."""
        current = self.parts.store.current
        if current is None:
            reason = 'no sheet is in force yet'
            refusal = Refusal(ResultCode.NO_CONFIGURATION, reason)
            return self.refuse(refusal, HTTPStatus.NOT_FOUND)
        return web.Response(
            body=current.content,
            headers={
                'Content-Type': 'text/csv; charset=utf-8',
                'Tanagerbend-Version': str(current.version),
            },
        )

    async def drain(self, _request: web.Request) -> web.Response:
        """Stop accepting new work; running calls finish."""
        await self.parts.drain.drain(OPERATOR_DRAIN_REASON)
        return web.json_response(views.status(self.parts))

    async def undrain(self, _request: web.Request) -> web.Response:
        """Accept new work again, unless another drain reason remains."""
        await self.parts.drain.undrain(OPERATOR_DRAIN_REASON)
        return web.json_response(views.status(self.parts))


def _parse_finite(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


class OperatorService(Service):
    """Runs the endpoints for operators as part of a daemon.

    Parameters
    ==========

    parts : Parts
    """

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self.address = parts.settings.addresses.operators
        self.timer = parts.timer
        self.server = OperatorServer(parts)

    async def on_start(self) -> None:
        """Start to listen for operators."""
        host, _, port = self.address.rpartition(':')
        await self.server.start(host, int(port))
        self.timer.every(PERIOD_SECONDS, self.server.floods.check)

    async def on_stop(self) -> None:
        """Stop listening."""
        await self.server.close()
