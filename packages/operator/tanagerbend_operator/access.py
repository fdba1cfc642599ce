"""Whom the command asks: addresses and token."""

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


def find_access(
    daemon: Sequence[str],
    access: pathlib.Path | None,
) -> Access | tuple[SettingFault, ...]:
    """Return the access, or the faults of the access file.

    Explanation
    ===========

    Addresses come from the option, else from the file.  The token comes
    from the environment, else from the file; it is no option, because
    every user of a host can read the arguments of a process.

    Parameters
    ==========

    daemon : sequence of str
        Addresses given as option.
    access : pathlib.Path or None
        File given as option; else ``tanagerbend.toml`` is read if present.
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
            reason = 'no daemon is given, neither here nor by --daemon'
            code = ResultCode.SETTING_MISSING
            return (SettingFault('daemons', '', code, reason),)
    return loaded
