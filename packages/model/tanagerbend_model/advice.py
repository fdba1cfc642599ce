"""Meaning of each result code and what its recipient should do."""

from types import MappingProxyType
from typing import Final

import attrs

from tanagerbend_model.codes import ResultCode

NO: Final = 'no'
YES: Final = 'yes'
UNKNOWN: Final = 'unknown'
# The header `Tanagerbend-Ran` of the answer tells which of the two applies.
NO_OR_UNKNOWN: Final = 'no or unknown'
# For codes that are not about a request.
NONE: Final = '-'

FIX_SHEET: Final = 'correct the sheet and publish it again'
FIX_SETTINGS: Final = 'correct the settings file'
SEND_LATER: Final = 'send again later, with a growing delay'
NOTHING: Final = 'nothing; the daemons handle it'
QUERY_ORDER: Final = (
    'never resend an order; query its key or check its result manually'
)
NEW_KEY: Final = 'send the order with the key that the answer carries'
CHECK_PEER: Final = (
    'if it persists, find the sender in the log and check its settings'
)


@attrs.frozen
class Advice:
    """What a result code tells its recipient.

    Parameters
    ==========

    meaning : str
    ran : str
        Whether the request ran: ``no``, ``yes``, ``unknown``, ``no or
        unknown``, or ``-`` where there is no request.
    to_do : str
    """

    meaning: str
    ran: str
    to_do: str


_SHEET: Final = {
    ResultCode.SHEET_NOT_TEXT: 'the sheet is not UTF-8 text in CSV form',
    ResultCode.SHEET_TOO_LARGE: 'the sheet is larger than 1 MiB',
    ResultCode.SHEET_EMPTY: 'the sheet lists no work',
    ResultCode.SHEET_COLUMN_MISSING: 'a required column is missing',
    ResultCode.SHEET_COLUMN_UNKNOWN: 'a column is unknown or occurs twice',
    ResultCode.SHEET_VALUE_MISSING: 'a required cell is empty',
    ResultCode.SHEET_VALUE_INVALID: 'a cell has a value out of its range',
    ResultCode.SHEET_ROW_DUPLICATE: 'two rows have the same work or route',
    ResultCode.SHEET_FLOORS_EXCEED_CAPACITY: (
        'the floors of a service add up to more than 100%'
    ),
    ResultCode.SHEET_EDITION_INVALID: 'the edition is not a date',
    ResultCode.SHEET_ROW_LENGTH: 'a row has more cells than columns',
}
_SETTINGS: Final = {
    ResultCode.SETTING_UNKNOWN: 'there is no setting of this name',
    ResultCode.SETTING_MISSING: 'a required setting is missing',
    ResultCode.SETTING_INVALID: 'a setting has a wrong type or value',
    ResultCode.SETTINGS_NOT_TOML: 'the settings file is not TOML',
    ResultCode.SETTINGS_DISAGREE: 'two settings contradict each other',
    ResultCode.SETTINGS_UNREADABLE: 'the settings file cannot be read',
}
_CONTROL: Final = {
    ResultCode.FRAME_TOO_LARGE: 'a control message exceeds 2 MiB',
    ResultCode.FRAME_MALFORMED: 'a control message cannot be decoded',
    ResultCode.FRAME_UNAUTHENTICATED: 'a sender does not know the shared key',
    ResultCode.FRAME_REPLAYED: 'a control message arrived out of order',
    ResultCode.FOREIGN_DEPLOYMENT: 'a sender belongs to another deployment',
}
_OTHERS: Final = {
    ResultCode.OK: Advice('the request was answered', YES, 'nothing'),
    ResultCode.NO_CONFIGURATION: Advice(
        'the daemon holds no sheet yet',
        NO,
        'send it through another daemon, or again later',
    ),
    ResultCode.VERSION_BEHIND: Advice(
        'the caller knows a newer version than this daemon',
        NO,
        'send it through another daemon, or again later',
    ),
    ResultCode.VERSION_CONFLICT: Advice(
        'two different values have the same position in the version order',
        NONE,
        'publish the right sheet again, with a new serial in its edition',
    ),
    ResultCode.VERSION_OLDER: Advice(
        'a value is older than the version in force',
        NONE,
        'publish the sheet with a newer edition',
    ),
    ResultCode.SERVICE_UNAVAILABLE: Advice(
        'the configuration service does not answer',
        NONE,
        'restore the service; the sheet in force stays',
    ),
    ResultCode.SERVICE_BUDGET_SPENT: Advice(
        'a call to the service would exceed the budget of the daemon',
        NONE,
        NOTHING,
    ),
    ResultCode.CONTENT_HASH_MISMATCH: Advice(
        'a value from a peer does not have the announced digest',
        NONE,
        NOTHING,
    ),
    ResultCode.ROUTE_UNKNOWN: Advice(
        'no row of the sheet covers the request',
        NO,
        'correct the request, or add a row to the sheet',
    ),
    ResultCode.NO_INSTANCE: Advice(
        'no instance of the service can be used',
        NO,
        SEND_LATER,
    ),
    ResultCode.TOO_MANY_HOPS: Advice(
        'calls are nested more than 8 levels deep',
        NO,
        'look for services that call each other in a cycle',
    ),
    ResultCode.INSTANCE_UNREACHABLE: Advice(
        'no connection to the chosen instance could be opened',
        NO,
        SEND_LATER,
    ),
    ResultCode.RETRY_BUDGET_SPENT: Advice(
        'an attempt failed and the retry budget of the service is used up',
        NO,
        SEND_LATER,
    ),
    ResultCode.HEADER_INVALID: Advice(
        'a header of the request has an invalid value',
        NO_OR_UNKNOWN,
        'correct the request',
    ),
    ResultCode.BODY_TOO_LARGE: Advice(
        'the body of the request is longer than the configuration allows',
        NO,
        'correct the request',
    ),
    ResultCode.DRAINING: Advice(
        'the instance accepts no new work',
        NO,
        'send it again; another instance will accept it',
    ),
    ResultCode.QUEUE_FULL: Advice(
        'too many calls wait for the instance',
        NO,
        SEND_LATER,
    ),
    ResultCode.DEADLINE_UNREACHABLE: Advice(
        'the call would have waited until after its deadline',
        NO,
        SEND_LATER,
    ),
    ResultCode.DEADLINE_PASSED: Advice(
        'the deadline passed before the call was sent',
        NO,
        SEND_LATER,
    ),
    ResultCode.BACKEND_SHED_LOAD: Advice(
        'the backend server refused the call for lack of capacity',
        NO_OR_UNKNOWN,
        SEND_LATER,
    ),
    ResultCode.ORDER_KEY_REQUIRED: Advice(
        'an order came without an order key',
        NO,
        NEW_KEY,
    ),
    ResultCode.ORDER_KEY_INVALID: Advice(
        'the order key was not issued by this deployment',
        NO_OR_UNKNOWN,
        'if the order did not run, send it without a key to receive a new one',
    ),
    ResultCode.ORDER_KEY_EXPIRED: Advice(
        'the order key has expired; the order may have run before',
        UNKNOWN,
        QUERY_ORDER,
    ),
    ResultCode.ORDER_KEY_VOID: Advice(
        'the order key was voided and can never run',
        NO,
        NEW_KEY,
    ),
    ResultCode.ORDER_OWNER_GONE: Advice(
        'the daemon that owned the order key is gone',
        UNKNOWN,
        QUERY_ORDER,
    ),
    ResultCode.ORDER_LEDGER_FULL: Advice(
        'the ledger of the daemon has no room for another order',
        NO_OR_UNKNOWN,
        'if the order did not run, retry it later; otherwise query its key',
    ),
    ResultCode.ORDER_IN_PROGRESS: Advice(
        'the order with this key is running',
        UNKNOWN,
        'send it again with the same key, or query the key',
    ),
    ResultCode.ORDER_NOT_BEGUN: Advice(
        'the order with this key has not begun',
        UNKNOWN,
        'send the order with this key, or void the key',
    ),
    ResultCode.ORDER_ANSWER_DROPPED: Advice(
        'the order ran, but its answer is no longer stored',
        YES,
        'never resend it; ask the backend server for the result',
    ),
    ResultCode.ORDER_REQUEST_DIFFERS: Advice(
        'the order key was used with another request before',
        UNKNOWN,
        'use one key for one order only',
    ),
    ResultCode.ORDER_BODY_TOO_LARGE: Advice(
        'the body of the order is longer than the owner daemon can store',
        UNKNOWN,
        'send a shorter order under a new key',
    ),
    ResultCode.OUTCOME_UNKNOWN: Advice(
        'the request was sent, but no complete answer was received',
        UNKNOWN,
        QUERY_ORDER,
    ),
    ResultCode.ANSWER_TRUNCATED: Advice(
        'the answer ended early',
        UNKNOWN,
        QUERY_ORDER,
    ),
    ResultCode.ANSWER_CROSSED: Advice(
        'the answer belongs to another request and was discarded',
        UNKNOWN,
        QUERY_ORDER,
    ),
    ResultCode.REQUEST_CRASHES_BACKEND: Advice(
        'this request has crashed backend servers',
        NO,
        'do not send it again; report it to the team of the service',
    ),
    ResultCode.CONNECTION_LOST: Advice(
        'the connection to the backend server broke before the answer',
        UNKNOWN,
        QUERY_ORDER,
    ),
    ResultCode.PEER_UNREACHABLE: Advice(
        'no connection to a daemon could be opened',
        NONE,
        NOTHING,
    ),
    ResultCode.PEER_TIMEOUT: Advice(
        'a daemon did not answer a control message in time',
        NONE,
        NOTHING,
    ),
    ResultCode.TOKEN_REQUIRED: Advice(
        'the operator token is missing or wrong',
        NO,
        'correct the token of the command or of the collector',
    ),
    ResultCode.QUERY_INVALID: Advice(
        "a query to an operators' endpoint has an invalid value",
        NO,
        'correct the query',
    ),
}

ADVICE: Final = MappingProxyType(
    {
        **_OTHERS,
        **{
            code: Advice(meaning, NONE, FIX_SHEET)
            for code, meaning in _SHEET.items()
        },
        **{
            code: Advice(meaning, NONE, FIX_SETTINGS)
            for code, meaning in _SETTINGS.items()
        },
        **{
            code: Advice(meaning, NONE, CHECK_PEER)
            for code, meaning in _CONTROL.items()
        },
    },
)


def table_row(code: ResultCode) -> str:
    """Return the row of a code in ``docs/result-codes.md``.

    Examples
    ========

    >>> table_row(ResultCode.OK)
    '| 0 | `OK` | the request was answered | yes | nothing |'
    """
    advice = ADVICE[code]
    cells = (
        str(int(code)),
        f'`{code.name}`',
        advice.meaning,
        advice.ran,
        advice.to_do,
    )
    return '| {cells} |'.format(cells=' | '.join(cells))
