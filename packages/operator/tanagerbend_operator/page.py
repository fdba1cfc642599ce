"""The page of ``tanagerbend report`` for people."""

from collections.abc import Sequence
from typing import Any, Final

from rich.console import Console

from tanagerbend_operator.output import console, table, text_bar
from tanagerbend_operator.story import QUIET, Story
from tanagerbend_operator.times import clock

# Sections are cut so that the whole stays one page.
ROWS: Final = 12


def print_page(story: Story) -> None:
    """Write the page to standard output."""
    out = console()
    out.print(f'Report from {clock(story.begin)} to {clock(story.end)}')
    verdict = 'there is something to look at' if story.needs_attention else 'ok'
    out.print(f'{story.asked} daemons answered; {verdict}')
    _print_names(out, 'no answer from', story.unreachable)
    _print_names(out, 'journal lost by a restart', story.restarted)
    _print_versions(out, story)
    _print_happenings(out, story)
    _print_refusals(out, story)
    out.print(
        f'\nSince the start of each daemon: {story.crashes} crashes of '
        f'backend servers, {story.orders_started_again} orders started '
        'more than once',
    )


def _print_names(out: Console, title: str, names: Sequence[str]) -> None:
    if names:
        shown = ', '.join(names[:ROWS])
        out.print(f'{title}: {shown}{_rest(names)}')


def _rest(rows: Sequence[Any]) -> str:
    return f' and {len(rows) - ROWS} more' if len(rows) > ROWS else ''


def _print_versions(out: Console, story: Story) -> None:
    out.print('\nVersions adopted')
    highest = max((spread.seconds for spread in story.spreads), default=0)
    rows = [
        (
            clock(spread.first),
            spread.version,
            spread.daemons,
            spread.late_starts,
            f'{spread.seconds:.2f}',
            text_bar(spread.seconds, highest),
        )
        for spread in story.spreads[-ROWS:]
    ]
    columns = 'first', 'version', 'daemons', 'started later', 'seconds', ''
    _print_table(out, columns, rows)


def _print_happenings(out: Console, story: Story) -> None:
    out.print('\nWhat happened')
    # Cut from the quiet end, so that no warning is left out for a notice.
    ordered = sorted(
        story.happenings,
        key=lambda happening: (happening.event in QUIET, happening.first),
    )
    kept = sorted(ordered[: 2 * ROWS], key=lambda happening: happening.first)
    rows = [
        (
            clock(happening.first),
            happening.event,
            happening.subject,
            len(happening.daemons),
            happening.reason,
        )
        for happening in kept
    ]
    columns = 'time', 'event', 'subject', 'daemons', 'reason'
    _print_table(out, columns, rows)
    if len(ordered) > len(kept):
        out.print(f'and {len(ordered) - len(kept)} more (--json has all)')


def _print_refusals(out: Console, story: Story) -> None:
    out.print('\nRefusals by code')
    highest = max(story.refusals.values(), default=0)
    rows = [
        (name, count, text_bar(count, highest))
        for name, count in list(story.refusals.items())[:ROWS]
    ]
    _print_table(out, ('code', 'count', ''), rows)
    out.print('\nRefusals by hour')
    highest = max(story.hours.values(), default=0)
    hours = [
        (clock(hour), count, text_bar(count, highest))
        for hour, count in list(story.hours.items())[-2 * ROWS :]
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
