"""Explanation of an order key."""

from typing import Any, Final

from tanagerbend_model import Refusal
from tanagerbend_operator import exits
from tanagerbend_operator.access import Access
from tanagerbend_operator.client import DaemonClient, run_with
from tanagerbend_operator.fleet import survey
from tanagerbend_operator.output import (
    describe,
    write_error,
    write_json,
    write_line,
)
from tanagerbend_operator.times import clock

ORDER_KEY: Final = 'tb1.'


def explain_order(access: Access, token: str, as_json: bool) -> int:
    """Show the owner of an order key and what came of the order."""
    answer = run_with(
        access,
        lambda client: _ask_owner(client, access.daemons, token),
    )
    match answer:
        case None:
            return exits.NO_ANSWER
        case Refusal():
            write_error(describe(answer))
            return exits.PROBLEM
    if as_json:
        write_json(answer)
    else:
        _print(answer)
    return exits.FINE


async def _ask_owner(
    client: DaemonClient,
    addresses: tuple[str, ...],
    token: str,
) -> Any:
    """Return the owner's answer, else that of any daemon, else None."""
    view = await survey(client, addresses)
    asked = tuple(seen.address for seen in view.answered)
    answers = await client.ask_all(asked, '/order', {'key': token})
    found: Any = None
    for answer in answers.values():
        match answer:
            case {'is_owner': True}:
                return answer
            case Refusal() if found is not None:
                continue
        found = answer
    return found


def _print(answer: dict[str, Any]) -> None:
    owner = f'{answer["host"]}/{answer["incarnation"]}'
    write_line(
        f'order of service {answer["service"]}, owner {owner}, '
        f'key expires {clock(answer["expiry"])}',
    )
    if answer['is_owner']:
        write_line(
            f'{answer["outcome"]}: {answer["reason"]} (ran: {answer["ran"]})',
        )
    else:
        write_line(
            'the owner did not answer or runs no more: outcome unknown; '
            'if it runs no more, this key can never run',
        )
