"""Text output of ``tanagerbend report``, at most one page."""

from collections.abc import Sequence
from typing import Any, Final

from rich.console import Console

from tanagerbend_operator.fleet_summary import ROUTINE_EVENTS, FleetSummary
from tanagerbend_operator.output import console, table, text_bar
from tanagerbend_operator.times import format_time

# Longer sections are truncated, so that the output stays one page.
MAX_ROWS: Final = 12


def print_summary(summary: FleetSummary) -> None:
    """Print the summary to standard output."""
    out = console()
    out.print(
        f'Report from {format_time(summary.begin)} '
        f'to {format_time(summary.end)}',
    )
    verdict = 'attention needed' if summary.needs_attention else 'ok'
    out.print(f'{summary.asked} daemons answered; {verdict}')
    _print_hosts(out, 'no answer from', summary.unreachable)
    _print_hosts(out, 'journal lost by a restart', summary.restarted)
    _print_versions(out, summary)
    _print_events(out, summary)
    _print_refusals(out, summary)
    out.print(
        f'\nSince the start of each daemon: {summary.crashes} crashes of '
        f'backend servers, {summary.orders_started_again} orders started '
        'more than once',
    )


def _print_hosts(out: Console, title: str, names: Sequence[str]) -> None:
    if names:
        shown = ', '.join(names[:MAX_ROWS])
        out.print(f'{title}: {shown}{_omission_note(names)}')


def _omission_note(rows: Sequence[Any]) -> str:
    return f' and {len(rows) - MAX_ROWS} more' if len(rows) > MAX_ROWS else ''


def _print_versions(out: Console, summary: FleetSummary) -> None:
    out.print('\nVersions adopted')
    highest = max((rollout.seconds for rollout in summary.spreads), default=0)
    rows = [
        (
            format_time(rollout.first),
            rollout.version,
            rollout.daemons,
            rollout.late_starts,
            f'{rollout.seconds:.2f}',
            text_bar(rollout.seconds, highest),
        )
        for rollout in summary.spreads[-MAX_ROWS:]
    ]
    columns = 'first', 'version', 'daemons', 'started later', 'seconds', ''
    _print_table(out, columns, rows)


def _print_events(out: Console, summary: FleetSummary) -> None:
    out.print('\nEvents')
    # Events that need attention sort first, so routine ones are cut first.
    ordered = sorted(
        summary.happenings,
        key=lambda group: (group.event in ROUTINE_EVENTS, group.first),
    )
    kept = sorted(ordered[: 2 * MAX_ROWS], key=lambda group: group.first)
    rows = [
        (
            format_time(group.first),
            group.event,
            group.subject,
            len(group.daemons),
            group.reason,
        )
        for group in kept
    ]
    columns = 'time', 'event', 'subject', 'daemons', 'reason'
    _print_table(out, columns, rows)
    if len(ordered) > len(kept):
        out.print(f'and {len(ordered) - len(kept)} more (--json has all)')


def _print_refusals(out: Console, summary: FleetSummary) -> None:
    out.print('\nRefusals by code')
    highest = max(summary.refusals.values(), default=0)
    rows = [
        (name, count, text_bar(count, highest))
        for name, count in list(summary.refusals.items())[:MAX_ROWS]
    ]
    _print_table(out, ('code', 'count', ''), rows)
    out.print('\nRefusals by hour')
    highest = max(summary.hours.values(), default=0)
    hours = [
        (format_time(hour), count, text_bar(count, highest))
        for hour, count in list(summary.hours.items())[-2 * MAX_ROWS :]
    ]
    _print_table(out, ('hour', 'count', ''), hours)


def _print_table(
    out: Console,
    columns: Sequence[str],
    rows: Sequence[Sequence[Any]],
) -> None:
    if rows:
        out.print(table(columns, rows))
    else:
        out.print('none')
