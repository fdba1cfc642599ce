"""Daemon addresses and the token that the command uses."""

import os
import pathlib
from collections.abc import Sequence
from typing import Final

import attrs

from tanagerbend_model import ResultCode
from tanagerbend_settings import (
    AccessSettings,
    SettingFault,
    load_access,
    read_text,
)

DEFAULT_FILE: Final = pathlib.Path('tanagerbend.toml')
TOKEN_VARIABLE: Final = 'TANAGERBEND_TOKEN'  # noqa: S105


@attrs.frozen
class Access:
    """Addresses of daemons and the operators' token.

    Parameters
    ==========

    daemons : tuple of str
        ``IPv4:port`` of operators' addresses; never empty.
    token : str
    """

    daemons: tuple[str, ...]
    token: str = attrs.field(repr=False)


def resolve_access(
    daemon: Sequence[str],
    access: pathlib.Path | None,
) -> Access | tuple[SettingFault, ...]:
    """Return the addresses and the token, or faults of the access file.

    Explanation
    ===========

    Addresses from the option take precedence over those of the file, and
    a token from the environment over that of the file.  The token is not
    a command-line option, because every user of a host can read the
    arguments of a process.

    Parameters
    ==========

    daemon : sequence of str
        Addresses given with ``--daemon``.
    access : pathlib.Path or None
        File given with ``--access``; None for ``tanagerbend.toml`` in the
        working directory.
    """
    token = os.environ.get(TOKEN_VARIABLE, '')
    if daemon and token and access is None:
        return Access(tuple(daemon), token)
    text = read_text(access or DEFAULT_FILE)
    if isinstance(text, tuple):
        return text
    loaded = load_access(text)
    match loaded:
        case AccessSettings():
            daemons = tuple(daemon) or loaded.daemons
            if daemons:
                return Access(daemons, token or loaded.token)
            reason = 'no daemon address in the access file or with --daemon'
            code = ResultCode.SETTING_MISSING
            return (SettingFault('daemons', '', code, reason),)
    return loaded
