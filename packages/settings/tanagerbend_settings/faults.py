"""Faults of settings files."""

import attrs

from tanagerbend_model import ResultCode


@attrs.frozen
class SettingFault:
    """One fault of a settings file.

    Parameters
    ==========

    key : str
        Dotted name, for example ``platform.url``.
    text : str
        The value; empty for secrets, unknown and missing keys.
    code : ResultCode
    reason : str
    """

    key: str
    text: str
    code: ResultCode
    reason: str

    def __str__(self) -> str:
        subject = f'{self.key} {self.text!r}' if self.text else self.key
        code = f'code {int(self.code)} {self.code.name}'
        return f'{subject or "file"}: {self.reason} ({code})'


def invalid(key: str, text: str, reason: str) -> SettingFault:
    """Return the fault of a value that is invalid on its own."""
    return SettingFault(key, text, ResultCode.SETTING_INVALID, reason)


def disagreement(key: str, text: str, reason: str) -> SettingFault:
    """Return the fault of a value that contradicts another setting."""
    return SettingFault(key, text, ResultCode.SETTINGS_DISAGREE, reason)
