"""Explanation of an order key."""

from typing import Any, Final

from tanagerbend_model import Refusal
from tanagerbend_operator import exit_codes
from tanagerbend_operator.access import Access
from tanagerbend_operator.client import DaemonClient, run_with_client
from tanagerbend_operator.fleet import query_fleet
from tanagerbend_operator.output import (
    describe_refusal,
    write_error,
    write_json,
    write_line,
)
from tanagerbend_operator.times import format_time

ORDER_KEY_PREFIX: Final = 'tb1.'


def explain_order(access: Access, token: str, as_json: bool) -> int:
    """Show the owner of an order key and the outcome of the order."""
    answer = run_with_client(
        access,
        lambda client: _query_owner(client, access.daemons, token),
    )
    match answer:
        case None:
            return exit_codes.NO_ANSWER
        case Refusal():
            write_error(describe_refusal(answer))
            return exit_codes.FAULT_FOUND
    if as_json:
        write_json(answer)
    else:
        _print_answer(answer)
    return exit_codes.OK


async def _query_owner(
    client: DaemonClient,
    addresses: tuple[str, ...],
    token: str,
) -> Any:
    """Return the answer of the owner, else of any daemon, else None."""
    view = await query_fleet(client, addresses)
    reached = tuple(daemon.address for daemon in view.answered)
    answers = await client.request_all(reached, '/order', {'key': token})
    fallback: Any = None
    for answer in answers.values():
        match answer:
            case {'is_owner': True}:
                return answer
            case Refusal() if fallback is not None:
                continue
        fallback = answer
    return fallback


def _print_answer(answer: dict[str, Any]) -> None:
    owner = f'{answer["host"]}/{answer["incarnation"]}'
    write_line(
        f'order of service {answer["service"]}, owner {owner}, '
        f'key expires {format_time(answer["expiry"])}',
    )
    if answer['is_owner']:
        write_line(
            f'{answer["outcome"]}: {answer["reason"]} (ran: {answer["ran"]})',
        )
    else:
        write_line(
            'the owner did not answer or has stopped: outcome unknown; '
            'if it has stopped, an order with this key can never run',
        )
