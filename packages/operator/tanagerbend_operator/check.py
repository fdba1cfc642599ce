"""Sub-command ``check``."""

import ipaddress
import pathlib
from collections.abc import Sequence
from typing import Any

import attrs

from tanagerbend_model import (
    Accepted,
    Difference,
    Fault,
    Refusal,
    Rejected,
    Sheet,
    accept,
    difference,
)
from tanagerbend_operator import exit_codes
from tanagerbend_operator.access import Access, resolve_access
from tanagerbend_operator.client import run_with_client
from tanagerbend_operator.output import (
    describe_refusal,
    write_error,
    write_json,
    write_line,
)
from tanagerbend_operator.sheets import (
    change_kind,
    describe_changed_fields,
    edition_warnings,
    format_edition,
)
from tanagerbend_operator.times import today
from tanagerbend_settings import Settings, load, read_text


def check(
    file: pathlib.Path,
    *,
    against: str = '',
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Validate a sheet, or the settings of a daemon (``*.toml``).

    All faults are listed with row, column or key, code and reason. With
    ``--against``, the changes from another sheet are listed as well.

    Exit codes: 0 valid; 1 faults; 2 the file cannot be read or the
    arguments are invalid; 3 the daemon does not answer; 4 valid, with
    warnings about the edition.

    Examples::

        tanagerbend check friday.csv
        tanagerbend check friday.csv --against thursday.csv
        tanagerbend check friday.csv --against 10.3.0.1:9003
        tanagerbend check host-1.toml --json

    :param file: sheet as CSV, or settings as TOML.
    :param against: sheet to compare with, or the operators' address of a
        daemon, to compare with the sheet that it uses.
    :param access: TOML file with the token, for a daemon.
    :param json: write JSON.
    """
    if file.suffix == '.toml':
        return _check_settings(file, json)
    content = _read_file(file)
    if isinstance(content, str):
        write_error(content)
        return exit_codes.USAGE_ERROR
    match accept(content):
        case Rejected(faults=faults):
            return _report_sheet_faults(faults, json)
        case Accepted(sheet=sheet):
            return _report_valid_sheet(sheet, against, access, json)


def _read_file(path: pathlib.Path) -> bytes | str:
    try:
        return path.read_bytes()
    except OSError as error:
        return f'{path}: {error.strerror}'


def _check_settings(path: pathlib.Path, as_json: bool) -> int:
    loaded = read_text(path)
    if isinstance(loaded, str):
        loaded = load(loaded)
    match loaded:
        case Settings():
            faults: tuple = ()
        case _:
            faults = loaded
    if as_json:
        rows = [
            {**attrs.asdict(fault), 'name': fault.code.name} for fault in faults
        ]
        write_json({'valid': not faults, 'faults': rows})
    else:
        for fault in faults:
            write_line(str(fault))
        if not faults:
            write_line('settings are valid')
    return exit_codes.FAULT_FOUND if faults else exit_codes.OK


def _report_sheet_faults(faults: Sequence[Fault], as_json: bool) -> int:
    if as_json:
        rows = [
            {**attrs.asdict(fault), 'name': fault.code.name} for fault in faults
        ]
        write_json({'valid': False, 'faults': rows})
        return exit_codes.FAULT_FOUND
    for fault in faults:
        place = f'row {fault.row}' if fault.row else 'sheet'
        column = f' column {fault.column}' if fault.column else ''
        code = f'code {int(fault.code)} {fault.code.name}'
        write_line(f'{place}{column}: {fault.reason} ({code})')
    write_line(f'{len(faults)} faults; the sheet would be rejected as a whole')
    return exit_codes.FAULT_FOUND


def _report_valid_sheet(
    sheet: Sheet,
    against: str,
    access: pathlib.Path | None,
    as_json: bool,
) -> int:
    other = _load_other_sheet(against, access) if against else None
    if isinstance(other, int):
        return other
    warnings = edition_warnings(sheet.edition, today(), other)
    changes = None if other is None else difference(other, sheet)
    if as_json:
        write_json(_encode_report(sheet, changes, warnings))
    else:
        _print_report(sheet, changes, warnings)
    return exit_codes.WARNINGS if warnings else exit_codes.OK


def _load_other_sheet(against: str, access: pathlib.Path | None) -> Sheet | int:
    if _is_daemon_address(against):
        resolved = resolve_access((against,), access)
        match resolved:
            case Access():
                answer = run_with_client(
                    resolved,
                    lambda client: client.request(against, '/sheet'),
                )
            case _:
                for fault in resolved:
                    write_error(str(fault))
                return exit_codes.USAGE_ERROR
    else:
        answer = _read_file(pathlib.Path(against))
    match answer:
        case Refusal():
            write_error(describe_refusal(answer))
            return exit_codes.NO_ANSWER
        case str():
            write_error(answer)
            return exit_codes.USAGE_ERROR
    match accept(answer):
        case Accepted(sheet=sheet):
            return sheet
    write_error(f'{against}: the sheet to compare with is not valid')
    return exit_codes.USAGE_ERROR


def _is_daemon_address(text: str) -> bool:
    address, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(address)
    except ValueError:
        return False
    return port.isdecimal()


def _encode_report(
    sheet: Sheet,
    changes: tuple[Difference, ...] | None,
    warnings: tuple[str, ...],
) -> dict[str, Any]:
    report: dict[str, Any] = {
        'valid': True,
        'edition': format_edition(sheet.edition),
        'work_classes': len(sheet.work),
        'warnings': warnings,
    }
    if changes is not None:
        report['changes'] = [
            {
                'kind': change_kind(change),
                'service': change.service,
                'work': change.work,
                'what': describe_changed_fields(change),
            }
            for change in changes
        ]
    return report


def _print_report(
    sheet: Sheet,
    changes: tuple[Difference, ...] | None,
    warnings: tuple[str, ...],
) -> None:
    write_line(
        f'valid: {len(sheet.work)} work classes of '
        f'{len(sheet.services)} services, '
        f'edition {format_edition(sheet.edition)}',
    )
    for change in changes or ():
        fields = describe_changed_fields(change)
        details = f': {fields}' if fields else ''
        name = f'{change.service}/{change.work}'
        write_line(f'{change_kind(change)} {name}{details}')
    if changes is not None and not changes:
        write_line('no work class changes')
    for warning in warnings:
        write_line(f'warning: {warning}')
