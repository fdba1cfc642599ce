"""Stand-ins and process control for the cases of the review.

Standard library only.  One process holds the stand-ins of the platform's
store, of the instances and of the clients; each daemon is a process of its
own, started with the command of ``deploy/system.toml``.  All addresses are
loopback addresses, one for each machine.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    'contactS': 3,
    'drainS': 2,
    'graceS': 6,
    'configApplyS': 2,
    'maxStretchS': 5,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetSlack': 60,
}
HEARTBEAT_SECONDS = 0.87
RESTART_SECONDS = 0.5


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.started = time.monotonic()

    def __call__(self, text):
        now = time.monotonic() - self.started
        self.file.write(f'{now:9.4f} {text}\n')
        self.file.flush()


def reset(writer):
    """Close a connection with a TCP reset, as the end of a process does."""
    found = writer.get_extra_info('socket')
    if found is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack('ii', 1, 0)
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def read_message(reader):
    """Return first line, headers (names in lower case) and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


def message(first, headers, body=b''):
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Server:
    """HTTP server whose connections can be reset together."""

    def __init__(self):
        self.listener = None
        self.writers = set()
        self.tasks = set()

    async def listen(self, host, port):
        self.listener = await asyncio.start_server(
            self._connected, host, port, limit=2**20, backlog=256
        )

    async def _connected(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                await self.exchange(reader, writer)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def exchange(self, reader, writer):
        raise NotImplementedError

    def stop_listening(self):
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def end(self):
        """End as a killed process does: no listener, all connections gone."""
        self.stop_listening()
        for writer in tuple(self.writers):
            reset(writer)


class Store(Server):
    """The platform's metadata store, to be read only."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.log = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.watching = set()
        self.is_mute = False

    def put(self, key, fields, *, note=True):
        self.revision += 1
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        self._add(
            {
                'key': key,
                'value': value,
                'revision': self.revision,
                'createRev': self.items.get(key, {}).get(
                    'createRev', self.revision
                ),
                'leaseId': 0,
            }
        )
        if note:
            self.record(f'store: {key} written at {self.revision}')

    def delete(self, key):
        self.revision += 1
        self._add({'key': key, 'revision': self.revision, 'tombstone': True})
        self.record(f'store: {key} removed at {self.revision}')

    def _add(self, event):
        self.items.pop(event['key'], None)
        if 'value' in event:
            self.items[event['key']] = event
        self.log.append(event)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self):
        """Cut the watches that wait; nothing else is disturbed."""
        cut = tuple(self.watching)
        for writer in cut:
            writer.close()
        self._wake()
        self.record(f'store: {len(cut)} waiting watches cut')
        return len(cut)

    async def exchange(self, reader, writer):
        first, _headers, _body = await read_message(reader)
        target = first.split(' ')[1]
        path, _, query = target.partition('?')
        fields = dict(
            (part.split('=', 1) + [''])[:2] for part in query.split('&') if part
        )
        fields = {name: _unquote(value) for name, value in fields.items()}
        if self.is_mute:
            await asyncio.Event().wait()
        await asyncio.sleep(0.004)
        if path == '/v1/kv-range':
            status, reply = 200, self._range(fields)
        elif path == '/v1/kv-watch':
            status, reply = await self._watch(fields, writer)
        else:
            status, reply = 404, {}
        body = json.dumps(reply).encode()
        writer.write(
            message(
                f'HTTP/1.1 {status} x',
                {'Content-Type': 'application/json'},
                body,
            )
        )
        await writer.drain()

    def _range(self, fields):
        after = fields.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields.get('prefix', '')) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'hasMore': len(keys) > 500,
            'atRev': self.revision,
        }

    async def _watch(self, fields, writer):
        after = int(fields['after'])
        loop = asyncio.get_running_loop()
        ends = loop.time() + int(fields['waitMs']) / 1000
        self.watching.add(writer)
        try:
            while True:
                events = [
                    event for event in self.log if event['revision'] > after
                ]
                if writer.is_closing():
                    raise ConnectionResetError
                left = ends - loop.time()
                if events or left <= 0:
                    return 200, {'events': events, 'atRev': self.revision}
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self.changed.wait()
        finally:
            self.watching.discard(writer)


def _unquote(text):
    import urllib.parse

    return urllib.parse.unquote_plus(text)


class Instance(Server):
    """An application instance: slots, a queue, one request a connection."""

    def __init__(self, deployment, number, service, zone, slots=6):
        super().__init__()
        self.deployment = deployment
        self.record = deployment.record
        self.number = number
        self.service = service
        self.zone = zone
        self.slots = slots
        self.identity = f'i-{number:02d}{random.randrange(16**6):06x}'
        self.ip = f'127.0.1.{number}'
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.is_up = False
        self.back = asyncio.Event()
        self.entry_state = 'ready'
        # Called with the request when it begins to run; may return an answer
        # (status, headers, body) to give in place of the usual one.
        self.on_run = None
        self.work_seconds = lambda _path: 0.05
        # Most instances drop a request when its connection closes.
        self.drops = True

    @property
    def address(self):
        return f'{self.ip}:{self.deployment.ports["app"]}'

    def entry(self):
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.entry_state,
                'sequence': 1,
                'coldRemainingS': 0,
            },
        }

    def register(self):
        self.deployment.store.put(f'servers/{self.identity}', self.entry())

    async def start(self):
        self.free = asyncio.Semaphore(self.slots)
        if self.listener is None:
            await self.listen(self.ip, self.deployment.ports['app'])
        self.is_up = True
        self.back.set()

    def crash(self, down_seconds, *, keeps_listener=False):
        """End at once and start again under the same id.

        A supervisor may hold the listening socket meanwhile: connections are
        then established, and their requests wait for the next start.
        """
        self.record(f'{self.identity} crashes')
        self.is_up = False
        self.back.clear()
        if keeps_listener:
            for writer in tuple(self.writers):
                reset(writer)
        else:
            self.end()
        self.deployment.spawn(self._return(down_seconds))

    async def _return(self, seconds):
        await asyncio.sleep(seconds)
        self.born = int(time.time() * 1000)
        await self.start()
        self.register()
        self.record(f'{self.identity} is back')

    async def exchange(self, reader, writer):
        first, headers, body = await read_message(reader)
        method, path, _ = first.split(' ')
        await self.back.wait()
        if reader.at_eof() or reader.exception():
            raise ConnectionResetError
        identifier = headers.get('request-id', '')
        common = {'Request-Id': identifier}
        arrival = {
            'at': time.monotonic(),
            'instance': self,
            'id': identifier,
            'method': method,
            'path': path,
            'headers': headers,
            'body': body,
            'run': False,
        }
        if path == '/health':
            writer.write(
                message('HTTP/1.1 200 OK', {'Instance-Id': self.identity})
            )
            return
        self.deployment.arrivals.append(arrival)
        if headers.get('expect-instance') not in (None, self.identity):
            self.record(f'{self.identity} answers 421 to {identifier} {path}')
            writer.write(
                message(
                    'HTTP/1.1 421 Misdirected Request',
                    {**common, 'Instance-Id': self.identity},
                )
            )
            return
        if self.free.locked() and self.waiting >= 4 * self.slots:
            writer.write(
                message(
                    'HTTP/1.1 503 Service Unavailable',
                    {**common, 'Not-Executed': '1'},
                )
            )
            return
        born = self.born
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        free = self.free
        try:
            if born != self.born or not self.is_up:
                raise ConnectionResetError
            arrival['run'] = True
            self.record(
                f'{self.identity} ({self.service}) runs {identifier}'
                f' {method} {path} of {headers.get("caller-service")},'
                f' Deadline-Ms {headers.get("deadline-ms")}'
            )
            found = self.on_run(arrival) if self.on_run else None
            await self._work(reader, arrival)
        finally:
            free.release()
        if not self.is_up or born != self.born:
            raise ConnectionResetError
        common['Server-Stamp'] = f'{self.identity}.{identifier}'
        status, extra, answer = found or (
            200,
            {},
            f'{self.identity} {path}'.encode(),
        )
        busy = f'{self.slots - self.free._value},{self.waiting},{self.slots}'
        self.record(f'{self.identity} answers {status} to {identifier}')
        writer.write(
            message(
                f'HTTP/1.1 {status} x',
                {**common, 'Server-Load': busy, **extra},
                answer,
            )
        )
        await writer.drain()

    async def _work(self, reader, arrival):
        """Work; an instance that drops ends when its connection closes."""
        ends = time.monotonic() + self.work_seconds(arrival['path'])
        while True:
            left = ends - time.monotonic()
            if left <= 0:
                return
            if self.drops and (reader.at_eof() or reader.exception()):
                raise ConnectionResetError
            await asyncio.sleep(min(left, 0.02))


class Daemon:
    """One process of the system, started as the deploy file says."""

    def __init__(self, deployment, number, service, zone, app):
        self.deployment = deployment
        self.number = number
        self.service = service
        self.zone = zone
        self.app = app
        self.ip = f'127.0.1.{number}'
        self.name = f'sidecar-{zone}-{number}'
        self.settings = deployment.folder / f'node-{number}.toml'
        self.log = open(deployment.folder / f'{self.name}.log', 'ab')
        self.process = None
        self.ends = []

    @property
    def outbound(self):
        return self.ip, self.deployment.ports['outbound']

    def write_settings(self):
        ports = self.deployment.ports
        bounds = ''.join(f'{k} = {v}\n' for k, v in BOUNDS.items())
        self.settings.write_text(
            f'nodeName = "{self.name}"\n'
            'role = "daemon"\nmachineClass = "sidecar"\n'
            f'serves = ["sidecar"]\nip = "{self.ip}"\nzone = "{self.zone}"\n'
            'region = "south"\n'
            f'internalPorts = [{ports["internal"]},{ports["internal"] + 15}]\n'
            'seeds = []\nbootstrap = true\ndiscovery = "platform"\n'
            f'heartbeatS = {HEARTBEAT_SECONDS}\n'
            f'appAddr = "{self.app}"\nservice = "{self.service}"\n'
            f'[listen]\ninbound = "{self.ip}:{ports["inbound"]}"\n'
            f'outbound = "{self.ip}:{ports["outbound"]}"\n'
            f'readyAddr = "{self.ip}:{ports["ready"]}"\n'
            '[limits]\ncpuShare = 0.86\ncores = 1\nmemoryMb = 300\n'
            'maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n'
            f'[bounds]\n{bounds}'
            f'[platform]\naddress = "127.0.0.1:{ports["store"]}"\n'
            'form = "read"\nwritesPerS = 400\nreadsPerS = 2000\n'
            'historyS = 20\nvalueBytes = 1048576\nminTtlS = 1\n'
        )

    async def start(self):
        self.write_settings()
        command = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = command['roles']['daemon']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        variables = {k: os.environ[k] for k in kept if k in os.environ}
        variables['PYTHONPATH'] = str(ROOT / 'target/deps')
        variables['TANAGERBEND_NODE_FILE'] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env=variables,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        with open(self.deployment.process_file, 'a') as started:
            started.write(f'{self.process.pid} {self.settings}\n')

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                answer = await ask(
                    (self.ip, self.deployment.ports['ready']),
                    'GET',
                    '/v1/ready',
                    {'Host': HOST},
                )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer[0] == 200

    def resident_mb(self):
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


async def ask(address, method, path, headers=None, body=b'', leave_after=None):
    """Send a request on a new connection; return status, headers and body.

    With ``leave_after`` the client closes its connection after so many
    seconds and None is returned.
    """
    reader, writer = await asyncio.open_connection(*address, limit=2**20)
    try:
        writer.write(message(f'{method} {path} HTTP/1.1', headers or {}, body))
        await writer.drain()
        if leave_after is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(leave_after):
                    first, found, answer = await read_message(reader)
                    return int(first.split(' ')[1]), found, answer
            return None
        first, found, answer = await read_message(reader)
        return int(first.split(' ')[1]), found, answer
    finally:
        writer.close()


class Deployment:
    """Store, machines and clients of one small deployment."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        # For run.sh, which ends what is left if this process is killed.
        self.process_file = os.environ.get('REVIEW_PROCESSES', os.devnull)
        self.ports = free_ports()
        self.store = Store(record)
        self.instances = []
        self.daemons = []
        self.arrivals = []
        self.answers = []
        self.numbers = itertools.count(1)
        self.tasks = set()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self, machines, configuration, prepare=None):
        """Start ``machines``: a list of (service, zone)."""
        await self.store.listen('127.0.0.1', self.ports['store'])
        self.store.put('op/config', configuration)
        for service, zone in machines:
            number = next(self.numbers)
            instance = Instance(self, number, service, zone)
            if prepare is not None:
                prepare(instance)
            await instance.start()
            instance.register()
            self.instances.append(instance)
            self.daemons.append(
                Daemon(self, number, service, zone, instance.address)
            )
        for daemon in self.daemons:
            await daemon.start()
        await self.until_ready(30)

    async def until_ready(self, seconds):
        ends = time.monotonic() + seconds
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > ends:
                    raise CannotRun(f'{daemon.name} is not ready')
                await asyncio.sleep(0.05)
        self.record('all daemons are ready')

    async def request(
        self,
        daemon,
        method,
        path,
        body=b'',
        deadline_ms=3000,
        leave_after=None,
        note=True,
    ):
        """Send one attempt of a client on a machine; return its answer."""
        identifier = f'{random.randrange(16**16):016x}'
        headers = {
            'Host': HOST,
            'Request-Id': identifier,
            'Deadline-Ms': str(deadline_ms),
        }
        sent = time.monotonic()
        if note:
            self.record(
                f'client at {daemon.name} sends {identifier} {method} {path}'
            )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                found = await ask(
                    daemon.outbound, method, path, headers, body, leave_after
                )
        except TimeoutError:
            found = ('no answer', {}, b'')
        except (OSError, EOFError) as error:
            found = (type(error).__name__, {}, b'')
        if found is None:
            found = ('left', {}, b'')
        result = {
            'id': identifier,
            'sent': sent,
            'ended': time.monotonic(),
            'daemon': daemon,
            'method': method,
            'path': path,
            'status': found[0],
            'headers': found[1],
            'body': found[2],
        }
        self.answers.append(result)
        if note:
            text = found[2][:160].decode('utf-8', 'replace')
            self.record(f'client of {identifier} gets {found[0]} {text}')
        return result

    async def close(self):
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        # A task may be starting a daemon just now.
        await asyncio.gather(*tasks, return_exceptions=True)
        for daemon in self.daemons:
            await daemon.stop()
        for server in (*self.instances, self.store):
            server.end()
            for task in tuple(server.tasks):
                task.cancel()


def route(name, service, kind='safe', timeout=1.5, target=0.5, **changes):
    return {
        'name': name,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutS': timeout,
        'targetLatencyS': target,
        'priority': 0,
        'service': service,
        'maxAttempts': 2,
        **changes,
    }


def configuration(version, services, *routes):
    return {
        'version': f'r{version}',
        'baseVersion': f'r{version - 1}',
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConnections': 120,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutS': 3,
            'idleTimeoutS': 15,
        },
        'virtualHosts': [{'host': HOST, 'paths': list(routes)}],
    }


def free_ports():
    """Return ports below the range from which the system picks its own."""
    text = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range').read_text()
    top = int(text.split()[0])
    names = ('app', 'inbound', 'outbound', 'ready', 'store')
    for _ in range(200):
        base = random.randrange(10000, max(top - 64, 10064))
        if all(_is_free(base + offset) for offset in range(24)):
            ports = {name: base + 16 + n for n, name in enumerate(names)}
            return {**ports, 'internal': base}
    raise CannotRun('no free ports')


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('0.0.0.0', port))
        except OSError:
            return False
    return True


def main(case, folder):
    """Run ``case(deployment, trouble)``; it returns HELD or BROKEN."""
    folder = pathlib.Path(folder).resolve()
    record = Record(folder / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'trouble: {trouble}')
    work = pathlib.Path(tempfile.mkdtemp(prefix='review-'))

    async def run():
        deployment = Deployment(work, record)
        try:
            async with asyncio.timeout(110):
                return await case(deployment, trouble)
        finally:
            await deployment.close()

    def ended(_number, _frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, ended)
    try:
        code = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:
        # An error of a script says nothing about the rule.
        record(f'could not run: {type(error).__name__} {error}')
        code = NOT_RUN
    finally:
        kept = os.environ.get('REVIEW_LOGS')
        if kept:
            shutil.copytree(work, kept, dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    record({HELD: 'held', BROKEN: 'broken', NOT_RUN: 'could not run'}[code])
    print({HELD: 'held', BROKEN: 'broken', NOT_RUN: 'could not run'}[code])
    sys.exit(code)
