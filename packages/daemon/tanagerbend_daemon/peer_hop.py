"""Proof of origin, result and answer of calls forwarded between daemons."""

import hmac
from typing import Final

from tanagerbend_daemon.call import Answer
from tanagerbend_interfaces import BackendResponse
from tanagerbend_model import Ran, Refusal, ResultCode, headers
from tanagerbend_routing import Result

FAILED_CODES: Final = frozenset(
    (
        ResultCode.INSTANCE_UNREACHABLE,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.CONNECTION_LOST,
        ResultCode.ANSWER_CROSSED,
        ResultCode.ANSWER_TRUNCATED,
    )
)
REFUSED_CODES: Final = frozenset(
    (
        ResultCode.NO_CONFIGURATION,
        ResultCode.DRAINING,
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.BACKEND_SHED_LOAD,
    )
)


def peer_proof(key: bytes, request_id: str, instance: str) -> str:
    """Return the proof (HMAC) that a forwarded call comes from a peer."""
    text = f'{request_id}/{instance}'.encode('utf-8', 'replace')
    return hmac.digest(key, text, 'sha256').hex()


def result_of(code: ResultCode) -> Result:
    """Return how the balancer counts a refusal by the instance."""
    if code in FAILED_CODES:
        return Result.FAILED
    return Result.REFUSED if code in REFUSED_CODES else Result.CANCELLED


def read_answer(request_id: str, response: BackendResponse) -> Answer | Refusal:
    """Read the answer of an owner daemon, which may be malformed."""
    received = {name.lower(): text for name, text in response.headers}
    if received.get(headers.REQUEST_ID.lower()) != request_id:
        reason = 'answer to another request'
        return Refusal(ResultCode.ANSWER_CROSSED, reason, Ran.UNKNOWN)
    try:
        code = ResultCode(int(received[headers.RESULT.lower()]))
        ran = Ran(received[headers.RAN.lower()])
    except (KeyError, ValueError):
        reason = 'answer without a valid result'
        return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
    if code is not ResultCode.OK:
        return Refusal(code, 'refused by the owner daemon', ran)
    return Answer(
        response.status,
        response.headers,
        response.chunks,
        load=received.get(headers.LOAD.lower(), ''),
    )
