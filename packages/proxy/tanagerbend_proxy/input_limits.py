"""Limits of the input of the listeners, from the settings and the pages."""

from typing import Final

import attrs

from tanagerbend_daemon.bounded_server import HEAD_BYTES, InputLimits
from tanagerbend_metrics import Recorder
from tanagerbend_proxy.answer_memory import AnswerMemory
from tanagerbend_proxy.body_memory import BodyMemory, body_capacity
from tanagerbend_proxy.daemon_settings import DaemonSettings
from tanagerbend_routing import RoutingConfiguration

# Descriptors kept free for files, as deployments do.
RESERVED_DESCRIPTORS: Final = 200
# Share of the others for the connections of one of the two listeners; the
# rest is for connections to instances, other daemons and the store.
LISTENER_SHARE: Final = 0.35
# Fewer connections would not do for the daemons of a small deployment.
MIN_CONNECTIONS: Final = 64
# A head may be delayed by a lost packet or a busy event loop, and a few bytes
# of the next head may be counted with it.
HEAD_MARGIN: Final = 2


def connections_of(descriptors: int) -> int:
    """Return the connections that one listener may have.

    Examples
    ========

    >>> connections_of(4100), connections_of(210)
    (1365, 64)
    """
    usable = descriptors - RESERVED_DESCRIPTORS
    return max(int(LISTENER_SHARE * usable), MIN_CONNECTIONS)


@attrs.define
class ClientLimits:
    """Limits of what this process reads and holds for its clients.

    Parameters
    ==========

    inputs : InputLimits
    memory : BodyMemory
    answers : AnswerMemory
    """

    inputs: InputLimits
    memory: BodyMemory
    answers: AnswerMemory

    def apply(self, configuration: RoutingConfiguration | None) -> None:
        """Allow at least what the configuration in force allows."""
        allowed = None if configuration is None else configuration.limits
        if allowed is None:
            return
        self.memory.idle_seconds = allowed.idle_seconds
        self.inputs.head_seconds = HEAD_MARGIN * allowed.header_seconds
        self.inputs.head_bytes = max(
            HEAD_BYTES, HEAD_MARGIN * allowed.header_bytes
        )


def make_client_limits(
    settings: DaemonSettings, recorder: Recorder
) -> ClientLimits:
    """Return the limits that hold until a configuration is known."""
    inputs = InputLimits(count=recorder.count)
    if settings.descriptors:
        inputs.connections = connections_of(settings.descriptors)
    memory = BodyMemory(
        recorder.timer,
        body_capacity(settings.memory_megabytes),
        count=recorder.count,
    )
    return ClientLimits(inputs, memory, AnswerMemory(memory))
