"""Fixtures: fake daemons with prepared answers, and the command."""

import asyncio
import json
import threading

import pytest
from aiohttp import web

from tanagerbend_operator import command

TOKEN = 'token of the operators'


class FakeDaemons:
    """Fake operators' endpoints of several daemons.

    They run in a thread, because the command runs an event loop itself.
    ``answers`` maps the index of a daemon and a path to the answer, as JSON
    or bytes.
    """

    def __init__(self):
        self.answers = {}
        self.post_requests = []
        self.addresses = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.runners = []

    def start(self, count):
        self.thread.start()
        for index in range(count):
            self._run(self._serve(index))

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    async def _serve(self, index):
        async def answer(request):
            if request.headers.get('Authorization') != f'Bearer {TOKEN}':
                refusal = {
                    'code': 901,
                    'reason': 'token',
                    'name': '',
                    'ran': '',
                }
                return web.json_response(refusal, status=401)
            if request.method == 'POST':
                self.post_requests.append((index, request.path))
            canned = self.answers.get((index, request.path))
            if isinstance(canned, bytes):
                return web.Response(body=canned, content_type='text/csv')
            if canned is None or 'code' in canned:
                canned = canned or {'code': 201, 'reason': 'no sheet'}
                return web.json_response(canned, status=404)
            return web.json_response(canned)

        runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.runners.append(runner)
        self.addresses.append('{}:{}'.format(*runner.addresses[0]))

    def stop(self, index):
        self._run(self.runners[index].cleanup())

    def close(self):
        for index in range(len(self.runners)):
            self.stop(index)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def set_status(self, index, **changes):
        """Set the status of a daemon: live and ready, except for changes."""
        status = {
            'host': f'host-{index}',
            'service': 'artwork',
            'failure_domain': ('kingston', 'hobart-a')[index % 2],
            'state': 'live',
            'not_ready': [],
            'version': '2026.12.4.0/7/abc',
            'position': [[2026, 12, 4, 0], 7],
            'provisional': False,
            'reader': index == 0,
            'last_read_age': 1.5,
            'running': 2,
            'started': 100.0,
            **changes,
        }
        self.answers[index, '/status'] = status
        self.answers[index, '/drain'] = {**status, 'state': 'draining'}
        self.answers[index, '/roster'] = {'members': []}


@pytest.fixture
def daemons():
    """Return three fake daemons with the same version."""
    fake = FakeDaemons()
    fake.start(3)
    for index in range(3):
        fake.set_status(index)
    yield fake
    fake.close()


@pytest.fixture
def run(daemons, tmp_path, capsys, monkeypatch):
    """Return a function that runs the command against the fake daemons."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv('TANAGERBEND_TOKEN', raising=False)
    quoted_addresses = ', '.join(
        f'"{address}"' for address in daemons.addresses
    )
    (tmp_path / 'tanagerbend.toml').write_text(
        f'token = "{TOKEN}"\ndaemons = [{quoted_addresses}]\n',
    )

    def run(*arguments):
        monkeypatch.setattr('sys.argv', ['tanagerbend', *arguments])
        monkeypatch.setenv('COLUMNS', '200')
        with pytest.raises(SystemExit) as exited:
            command.main()
        output = capsys.readouterr()
        if '--json' in arguments and output.out:
            return exited.value.code, json.loads(output.out), output.err
        return exited.value.code, output.out, output.err

    return run
