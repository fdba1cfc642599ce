"""Fixtures: daemons that answer from tables, and the command itself."""

import asyncio
import json
import threading

import pytest
from aiohttp import web

from tanagerbend_operator import command

TOKEN = 'token of the operators'


class FakeDaemons:
    """Operators' endpoints in a thread, as the command runs its own loop.

    ``answers`` maps an index and a path to the JSON or bytes answered.
    """

    def __init__(self):
        self.answers = {}
        self.posts = []
        self.addresses = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.runners = []

    def start(self, count):
        self.thread.start()
        for index in range(count):
            self._run(self._listen(index))

    def _run(self, work):
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    async def _listen(self, index):
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
                self.posts.append((index, request.path))
            found = self.answers.get((index, request.path))
            if isinstance(found, bytes):
                return web.Response(body=found, content_type='text/csv')
            if found is None or 'code' in found:
                found = found or {'code': 201, 'reason': 'no sheet'}
                return web.json_response(found, status=404)
            return web.json_response(found)

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

    def show(self, index, **changes):
        """Let a daemon answer a status that is fine but for changes."""
        own = {
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
        self.answers[index, '/status'] = own
        self.answers[index, '/drain'] = {**own, 'state': 'draining'}
        self.answers[index, '/roster'] = {'members': []}


@pytest.fixture
def daemons():
    """Return three daemons that answer and agree."""
    fake = FakeDaemons()
    fake.start(3)
    for index in range(3):
        fake.show(index)
    yield fake
    fake.close()


@pytest.fixture
def run(daemons, tmp_path, capsys, monkeypatch):
    """Return a function that runs the command on the daemons."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv('TANAGERBEND_TOKEN', raising=False)
    listed = ', '.join(f'"{address}"' for address in daemons.addresses)
    (tmp_path / 'tanagerbend.toml').write_text(
        f'token = "{TOKEN}"\ndaemons = [{listed}]\n',
    )

    def run(*arguments):
        monkeypatch.setattr('sys.argv', ['tanagerbend', *arguments])
        monkeypatch.setenv('COLUMNS', '200')
        with pytest.raises(SystemExit) as ended:
            command.main()
        output = capsys.readouterr()
        if '--json' in arguments and output.out:
            return ended.value.code, json.loads(output.out), output.err
        return ended.value.code, output.out, output.err

    return run
