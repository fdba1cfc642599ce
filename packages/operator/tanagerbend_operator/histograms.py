"""Sub-command ``histograms``."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

import attrs

from tanagerbend_metrics import (
    QUANTILES,
    EncodedHistogram,
    Histograms,
    quantiles_of,
)
from tanagerbend_model import Refusal
from tanagerbend_operator import exit_codes
from tanagerbend_operator.access import Access, resolve_access
from tanagerbend_operator.client import DaemonClient, run_with_client
from tanagerbend_operator.fleet import query_fleet
from tanagerbend_operator.output import (
    console,
    describe_refusal,
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
    """Show quantiles of times by tenant and rank, merged over all daemons.

    The histograms are merged, not their quantiles. Each covers the period
    since its daemon started. Times are in milliseconds.

    Exit codes: 0 shown; 2 access is not valid; 3 no daemon answered.

    Examples::

        tanagerbend histograms
        tanagerbend histograms --name queue --tenant studio
        tanagerbend histograms --json

    :param tenant: show only this tenant.
    :param name: show only this histogram, for example ``queue``.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON, including the encoded histograms.
    """
    resolved = resolve_access(daemon, access)
    match resolved:
        case Access(daemons=daemons):
            merged = run_with_client(
                resolved, lambda client: merge_histograms(client, daemons)
            )
        case _:
            for fault in resolved:
                write_error(str(fault))
            return exit_codes.USAGE_ERROR
    if merged is None:
        return exit_codes.NO_ANSWER
    rows = [
        _encode_row(merged, entry)
        for entry in merged.encode_all()
        if tenant in {'', entry.tenant} and name in {'', entry.name}
    ]
    if json:
        write_json({'histograms': rows})
    else:
        _print_table(rows)
    return exit_codes.OK


async def merge_histograms(
    client: DaemonClient,
    addresses: tuple[str, ...],
) -> Histograms | None:
    """Return the merged histograms of all daemons; None if none answered."""
    view = await query_fleet(client, addresses)
    reached = tuple(member.address for member in view.answered)
    merged = Histograms()
    for answer in (await client.request_all(reached, '/histograms')).values():
        match answer:
            case Refusal():
                write_error(describe_refusal(answer))
            case _:
                merged.merge(
                    EncodedHistogram(**entry) for entry in answer['histograms']
                )
    for member in view.daemons:
        if member.error:
            write_error(f'not included: {member.error}')
    return merged if reached else None


def _encode_row(merged: Histograms, entry: EncodedHistogram) -> dict[str, Any]:
    histogram = merged.get_or_create(entry.name, entry.tenant, entry.rank)
    return {
        **attrs.asdict(entry),
        'count': histogram.get_total_count(),
        'quantiles_ms': {
            str(quantile): seconds * MILLISECONDS
            for quantile, seconds in quantiles_of(histogram).items()
        },
    }


def _print_table(rows: list[dict[str, Any]]) -> None:
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
