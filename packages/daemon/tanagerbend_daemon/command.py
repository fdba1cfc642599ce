"""The binary ``tanagerbendd``."""

import asyncio
import pathlib
import signal
import sys

import defopt

from tanagerbend_daemon.assembly import assemble
from tanagerbend_daemon.services import DaemonService
from tanagerbend_settings import Settings, load


def run(settings: pathlib.Path, *, check: bool = False) -> int:
    """Run the daemon of one backend server host.

    :param settings: TOML file with the settings.
    :param check: only check the settings.
    """
    loaded = load(settings.read_text())
    match loaded:
        case Settings():
            if check:
                return 0
            return asyncio.run(serve(loaded))
    for fault in loaded:
        line = f'{fault.key} {fault.text!r}: {fault.reason} ({fault.code:d})'
        sys.stderr.write(f'{line}\n')
    return 2


async def serve(settings: Settings) -> int:
    """Run until a signal asks to stop."""
    parts = assemble(settings)
    service = DaemonService(parts)
    stopped = asyncio.Event()

    def ask_to_stop() -> None:  # noqa: WPS430
        if stopped.is_set():
            parts.drain.hurry()
        stopped.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ask_to_stop)
    await service.start()
    await stopped.wait()
    await service.stop_gracefully()
    return 0


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(run))
