"""The binary ``tanagerbendd``."""

import asyncio
import pathlib
import signal
import sys

import defopt

from tanagerbend_daemon.assembly import assemble
from tanagerbend_daemon.logs import log_journal
from tanagerbend_daemon.services import DaemonService
from tanagerbend_settings import Settings, load, read_text

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2


def run(settings: pathlib.Path, *, check: bool = False) -> int:
    """Run the daemon of one backend server host.

    It stops gracefully on SIGTERM or SIGINT. Faults of the settings and
    log lines go to standard error.

    Exit codes: 0 stopped as asked, or the settings are valid with
    ``--check``; 1 the daemon could not start, for example because an
    address is in use; 2 the settings or the arguments are not valid.

    Examples::

        tanagerbendd --check host-1.toml
        tanagerbendd host-1.toml

    :param settings: TOML file with the settings.
    :param check: only check the settings.
    """
    loaded = read_text(settings)
    if isinstance(loaded, str):
        loaded = load(loaded)
    match loaded:
        case Settings():
            return EXIT_STOPPED if check else _start(loaded)
    for fault in loaded:
        sys.stderr.write(f'{fault}\n')
    return EXIT_SETTINGS


def _start(settings: Settings) -> int:
    try:
        return asyncio.run(serve(settings))
    except OSError as error:
        sys.stderr.write(f'cannot start: {error.strerror}\n')
        return EXIT_FAILED


async def serve(settings: Settings) -> int:
    """Run until SIGTERM or SIGINT; a second one shortens the stop."""
    parts = assemble(settings)
    service = DaemonService(parts)
    stop_requested = asyncio.Event()

    def request_stop() -> None:  # noqa: WPS430
        if stop_requested.is_set():
            parts.drain.skip_waiting()
        stop_requested.set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop)
    log_journal(parts.recorder, settings)
    await service.start()
    await stop_requested.wait()
    await service.stop_gracefully()
    return EXIT_STOPPED


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(run, no_negated_flags=True))
