"""Sub-command ``histograms``."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

import attrs

from tanagerbend_metrics import QUANTILES, Encoded, Histograms, quantiles_of
from tanagerbend_model import Refusal
from tanagerbend_operator import exits
from tanagerbend_operator.access import Access, find_access
from tanagerbend_operator.client import DaemonClient, run_with
from tanagerbend_operator.fleet import survey
from tanagerbend_operator.output import (
    console,
    describe,
    table,
    write_error,
    write_json,
)

MILLISECONDS: Final = 1000


def histograms(
    *,
    tenant: str = '',
    name: str = '',
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show times by tenant and rank, merged over all daemons.

    The histograms themselves are merged, not their quantiles. Times are
    in milliseconds since the start of each daemon.

    Exit codes: 0 shown; 2 access is not valid; 3 no daemon answered.

    Examples::

        tanagerbend histograms
        tanagerbend histograms --name queue --tenant studio
        tanagerbend histograms --json

    :param tenant: only this tenant.
    :param name: only this time, for example ``queue``.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON, with the encoded histograms.
    """
    found = find_access(daemon, access)
    match found:
        case Access(daemons=daemons):
            merged = run_with(found, lambda client: merge(client, daemons))
        case _:
            for fault in found:
                write_error(str(fault))
            return exits.USAGE
    if merged is None:
        return exits.NO_ANSWER
    rows = [
        _row(merged, entry)
        for entry in merged.encoded()
        if tenant in {'', entry.tenant} and name in {'', entry.name}
    ]
    if json:
        write_json({'histograms': rows})
    else:
        _print(rows)
    return exits.FINE


async def merge(
    client: DaemonClient,
    addresses: tuple[str, ...],
) -> Histograms | None:
    """Return the sum over all daemons; None if none answered."""
    view = await survey(client, addresses)
    asked = tuple(seen.address for seen in view.answered)
    merged = Histograms()
    for answer in (await client.ask_all(asked, '/histograms')).values():
        match answer:
            case Refusal():
                write_error(describe(answer))
            case _:
                merged.merge(Encoded(**entry) for entry in answer['histograms'])
    for seen in view.daemons:
        if seen.trouble:
            write_error(f'not included: {seen.trouble}')
    return merged if asked else None


def _row(merged: Histograms, entry: Encoded) -> dict[str, Any]:
    histogram = merged.of(entry.name, entry.tenant, entry.rank)
    return {
        **attrs.asdict(entry),
        'count': histogram.get_total_count(),
        'quantiles_ms': {
            str(quantile): seconds * MILLISECONDS
            for quantile, seconds in quantiles_of(histogram).items()
        },
    }


def _print(rows: list[dict[str, Any]]) -> None:
    keys = 'name', 'tenant', 'rank', 'count'
    cells = [
        [
            *(row[key] for key in keys),
            *(f'{number:.2f}' for number in row['quantiles_ms'].values()),
        ]
        for row in rows
    ]
    columns = (*keys, *(f'p{quantile * 100:g} ms' for quantile in QUANTILES))
    console().print(table(columns, cells))
