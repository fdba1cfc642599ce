"""Result of an operation that was refused."""

import attrs

from tanagerbend_model.codes import Ran, ResultCode


@attrs.frozen
class Refusal:
    """Code and reason, returned in place of the result of an operation.

    Explanation
    ===========

    ``ran`` is ``Ran.NO`` only if the backend server provably never
    received the request.

    Examples
    ========

    >>> Refusal(ResultCode.QUEUE_FULL, 'queue of rank 3 is full').ran
    <Ran.NO: 'no'>

    Parameters
    ==========

    code : ResultCode
    reason : str
        One line for operators and callers.
    ran : Ran
    """

    code: ResultCode
    reason: str
    ran: Ran = Ran.NO
