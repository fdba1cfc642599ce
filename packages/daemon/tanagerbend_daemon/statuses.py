"""HTTP status of each result code."""

from http import HTTPStatus
from typing import Final

from tanagerbend_daemon.order_answers import ORDER_STATUS
from tanagerbend_model import ResultCode

STATUS_OF_CODE: Final = {
    ResultCode.OK: HTTPStatus.OK,
    ResultCode.NO_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.VERSION_BEHIND: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.ROUTE_UNKNOWN: HTTPStatus.NOT_FOUND,
    ResultCode.NO_INSTANCE: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.TOO_MANY_HOPS: HTTPStatus.LOOP_DETECTED,
    ResultCode.INSTANCE_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.RETRY_BUDGET_SPENT: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.HEADER_INVALID: HTTPStatus.BAD_REQUEST,
    ResultCode.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ResultCode.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.DEADLINE_UNREACHABLE: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.BACKEND_SHED_LOAD: HTTPStatus.SERVICE_UNAVAILABLE,
    **ORDER_STATUS,
    ResultCode.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    ResultCode.ANSWER_TRUNCATED: HTTPStatus.BAD_GATEWAY,
    ResultCode.ANSWER_CROSSED: HTTPStatus.BAD_GATEWAY,
    ResultCode.REQUEST_CRASHES_BACKEND: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.FRAME_UNAUTHENTICATED: HTTPStatus.FORBIDDEN,
    ResultCode.PEER_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.PEER_TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.TOKEN_REQUIRED: HTTPStatus.UNAUTHORIZED,
}
# Codes of sheets, distribution, control messages and settings.  A call that
# ends with one of them indicates a fault of this daemon.
INTERNAL_CODES: Final = frozenset(ResultCode) - STATUS_OF_CODE.keys()


def status_of(code: ResultCode) -> int:
    """Return the HTTP status of a refusal.

    Examples
    ========

    >>> status_of(ResultCode.QUEUE_FULL)
    429
    """
    return int(STATUS_OF_CODE.get(code, HTTPStatus.INTERNAL_SERVER_ERROR))
