"""Numbered result codes, and whether a request ran."""

import enum


class Ran(enum.Enum):
    """Whether the request ran on a backend server."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ResultCode(enum.IntEnum):
    """Outcome of an operation; the number is stable across releases.

    Explanation
    ===========

    The hundreds digit names the subject: 1 sheet, 2 distribution,
    3 routing, 4 admission, 5 orders, 6 answers, 7 control messages,
    8 settings, 9 operator endpoints.

    Examples
    ========

    >>> ResultCode.QUEUE_FULL.value
    402
    """

    OK = 0

    SHEET_NOT_TEXT = 101
    SHEET_TOO_LARGE = 102
    SHEET_EMPTY = 103
    SHEET_COLUMN_MISSING = 104
    SHEET_COLUMN_UNKNOWN = 105
    SHEET_VALUE_MISSING = 106
    SHEET_VALUE_INVALID = 107
    SHEET_ROW_DUPLICATE = 108
    SHEET_FLOORS_EXCEED_CAPACITY = 109
    SHEET_EDITION_INVALID = 110
    SHEET_ROW_LENGTH = 111

    NO_CONFIGURATION = 201
    VERSION_BEHIND = 202
    VERSION_CONFLICT = 203
    VERSION_OLDER = 204
    SERVICE_UNAVAILABLE = 205
    SERVICE_BUDGET_SPENT = 206
    CONTENT_HASH_MISMATCH = 207

    ROUTE_UNKNOWN = 301
    NO_INSTANCE = 302
    TOO_MANY_HOPS = 303
    INSTANCE_UNREACHABLE = 304
    RETRY_BUDGET_SPENT = 305
    HEADER_INVALID = 306
    BODY_TOO_LARGE = 307

    DRAINING = 401
    QUEUE_FULL = 402
    DEADLINE_UNREACHABLE = 403
    DEADLINE_PASSED = 404
    BACKEND_SHED_LOAD = 405

    ORDER_KEY_REQUIRED = 501
    ORDER_KEY_INVALID = 502
    ORDER_KEY_EXPIRED = 503
    ORDER_KEY_VOID = 504
    ORDER_OWNER_GONE = 505
    ORDER_LEDGER_FULL = 506
    ORDER_IN_PROGRESS = 507
    ORDER_NOT_BEGUN = 508
    ORDER_ANSWER_DROPPED = 509
    ORDER_REQUEST_DIFFERS = 510
    ORDER_BODY_TOO_LARGE = 511

    OUTCOME_UNKNOWN = 601
    ANSWER_TRUNCATED = 602
    ANSWER_CROSSED = 603
    REQUEST_CRASHES_BACKEND = 604
    CONNECTION_LOST = 605

    FRAME_TOO_LARGE = 701
    FRAME_MALFORMED = 702
    FRAME_UNAUTHENTICATED = 703
    FRAME_REPLAYED = 704
    FOREIGN_DEPLOYMENT = 705
    PEER_UNREACHABLE = 706
    PEER_TIMEOUT = 707

    SETTING_UNKNOWN = 801
    SETTING_MISSING = 802
    SETTING_INVALID = 803
    SETTINGS_NOT_TOML = 804
    SETTINGS_DISAGREE = 805
    SETTINGS_UNREADABLE = 806

    TOKEN_REQUIRED = 901
    QUERY_INVALID = 902
