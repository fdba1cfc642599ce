"""Why a request ended as it did, told from the log lines of the daemons."""

import enum
import math
from collections.abc import Iterable
from typing import Any, Final

import attrs

from tanagerbend_operator.logged import LogLine, Logs

# Lines of the hosts of a request that are shown from this time before and
# after its end, in seconds; restarts and outages last a few seconds.
AROUND_SECONDS: Final = 5.0
# Events that end a request which was not served on time.
ENDS: Final = frozenset(
    ('request_refused', 'request_failed', 'request_late', 'request_left'),
)
# Events that tell how a large answer left a host.
DELIVERIES: Final = frozenset(('answer_sent', 'answer_left'))
READERS: Final = {'answers': 'the caller', 'placed': 'another daemon'}
# What a host tells of itself when a request to it may have been cut.
RESTARTS: Final = frozenset(('daemon_started', 'daemon_stopping'))


class Cause(enum.Enum):
    """Kinds of causes, each with what an operator can do."""

    OVERLOAD = 'more work than the instances could do in time'
    ENDS_INSTANCES = 'the request ends the instances that run it'
    INSTANCE_ENDED = 'the instance ended while it ran the request'
    REPEATS_SPENT = 'no repeats were left at a service that it calls'
    NO_INSTANCE = 'no instance could be reached'
    HOST_LOST = 'the daemon beside the instance restarted or was lost'
    NO_ANSWER = 'the instance or its daemon sent no whole answer in time'
    INSTANCE_FAILED = 'the instance failed or broke off its answer'
    INSTANCE_SLOW = 'the instance took most of the time'
    LINK = 'large answers filled the link of a host'
    WAITED = 'most of the time was spent waiting or at other instances'
    NONE = 'none, it was answered on time'
    CALLER_LEFT = 'the caller closed its connection'
    CONFIGURATION = 'the configuration in force does not allow the request'
    STOPPING = 'the instance or its daemon was leaving'
    UNKNOWN = 'the lines do not tell'


CAUSES: Final = {
    'QUEUE_FULL': Cause.OVERLOAD,
    'DEADLINE_UNREACHABLE': Cause.OVERLOAD,
    'DEADLINE_PASSED': Cause.OVERLOAD,
    'BACKEND_SHED_LOAD': Cause.OVERLOAD,
    'RETRY_BUDGET_SPENT': Cause.REPEATS_SPENT,
    'REQUEST_CRASHES_BACKEND': Cause.ENDS_INSTANCES,
    'NO_INSTANCE': Cause.NO_INSTANCE,
    'INSTANCE_UNREACHABLE': Cause.NO_INSTANCE,
    'CONNECTION_LOST': Cause.NO_ANSWER,
    'OUTCOME_UNKNOWN': Cause.NO_ANSWER,
    'ANSWER_CROSSED': Cause.INSTANCE_FAILED,
    'ANSWER_TRUNCATED': Cause.INSTANCE_FAILED,
    'ROUTE_UNKNOWN': Cause.CONFIGURATION,
    'NO_CONFIGURATION': Cause.CONFIGURATION,
    'BODY_TOO_LARGE': Cause.CONFIGURATION,
    'HEADER_INVALID': Cause.CONFIGURATION,
    'DRAINING': Cause.STOPPING,
}


@attrs.frozen
class RequestStory:
    """What became of one request.

    Parameters
    ==========

    request : str
    cause : Cause
    text : str
        One paragraph.
    lines : tuple of LogLine
        Lines of the request, then those of its hosts around its end.
    """

    request: str
    cause: Cause
    text: str
    lines: tuple[LogLine, ...]

    def encode(self) -> dict[str, Any]:
        """Return the story as fields of JSON."""
        return {
            'request': self.request,
            'cause': self.cause.name.lower(),
            'meaning': self.cause.value,
            'text': self.text,
            'lines': [line.fields for line in self.lines],
        }


def tell_request(logs: Logs, identifier: str) -> RequestStory | None:
    """Return the story of a request, None if no line mentions it."""
    own = logs.of_request(identifier)
    if not own:
        return None
    decisions = [line for line in own if line.event not in DELIVERIES]
    deliveries = [line for line in own if line.event in DELIVERIES]
    end = decisions[-1] if decisions else deliveries[-1]
    around = _around(logs, end)
    cause = find_cause(end, around, deliveries)
    sentences = [_delivery(line) for line in deliveries]
    if decisions:
        steps = map(_step, decisions[:-1])
        sentences = [_beginning(end), *steps, _ending(logs, end), *sentences]
    sentences.append(f'Cause: {cause.value}.')
    sentences += [_context(line, end) for line in around]
    return RequestStory(
        identifier,
        cause,
        ' '.join(sentences),
        (*own, *around),
    )


def find_cause(
    end: LogLine,
    around: list[LogLine],
    deliveries: Iterable[LogLine] = (),
) -> Cause:
    """Return the cause by the last line and what hosts tell around it.

    ``deliveries`` tell how a large answer left the hosts on its way.
    """
    if any(_filled_link(line, end) for line in deliveries):
        return Cause.LINK
    fields = end.fields
    match end.event:
        case 'request_left':
            return Cause.CALLER_LEFT
        case 'request_answered':
            return Cause.NONE
        case 'request_failed':
            return Cause.INSTANCE_FAILED
        case 'request_late':
            is_slow = 2 * fields['served_ms'] > fields['age_ms']
            return Cause.INSTANCE_SLOW if is_slow else Cause.WAITED
        case 'request_refused':
            return _refusal_cause(end, around)
    return Cause.UNKNOWN


def _refusal_cause(end: LogLine, around: list[LogLine]) -> Cause:
    cause = CAUSES.get(end.fields['code'], Cause.UNKNOWN)
    has_restart = any(
        line.event in RESTARTS and line.host != end.host for line in around
    )
    if cause is not Cause.NO_ANSWER:
        return cause
    if any(line.event == 'instance_crashed' for line in around):
        return Cause.INSTANCE_ENDED
    return Cause.HOST_LOST if has_restart else cause


def _filled_link(line: LogLine, end: LogLine) -> bool:
    """Tell whether a request was late or lost for want of a link."""
    if line.event == 'answer_left':
        return True
    waited = 2 * line.fields['turns_ms'] > end.fields.get('age_ms', math.inf)
    return waited and end.event in ENDS


def _delivery(line: LogLine) -> str:
    """Return how a large answer left a host."""
    fields = line.fields
    reader = READERS.get(str(fields['purpose']), 'its reader')
    what = 'sent' if line.event == 'answer_sent' else 'could not send'
    return (
        f'{line.host} {what} the answer of {fields["bytes"]} bytes to {reader}'
        f': {fields["all_ms"]} ms, of which it waited {fields["turns_ms"]} ms '
        f'for the link, with {fields["ahead_ms"]} ms of others ahead.'
    )


def _around(logs: Logs, end: LogLine) -> list[LogLine]:
    """Return the lines of the two hosts of a request around its end."""
    address = str(end.fields.get('instance_host', ''))
    hosts = {end.host, logs.host_at(address)}
    found = [
        line
        for host in hosts
        for line in logs.near(host, end.time, AROUND_SECONDS)
        if _is_about(line, end)
    ]
    return sorted(found, key=lambda line: line.time)


def _is_about(line: LogLine, end: LogLine) -> bool:
    """Tell whether a line says something of the instance or the daemon."""
    named = line.fields.get('instance')
    return named is None or named == end.fields.get('instance')


def _beginning(end: LogLine) -> str:
    fields = end.fields
    if not end.route:
        return f'The request came to {end.host}, version {fields["version"]}.'
    return (
        f'The request came to {end.host} on route {end.route} '
        f'(service {fields["service"]}, rank {fields["rank"]}, '
        f'version {fields["version"]}).'
    )


def _step(line: LogLine) -> str:
    fields = line.fields
    what = fields.get('code') or f'status {fields.get("status")}'
    return (
        f'After {fields["age_ms"]} ms instance {fields.get("instance")} gave '
        f'{what} ({fields.get("reason", "its own answer")}), and it was sent '
        'to another.'
    )


def _ending(logs: Logs, end: LogLine) -> str:
    fields = end.fields
    if not end.route:
        return f'It was refused with {fields["code"]}: {fields["reason"]}.'
    host = logs.host_at(str(fields.get('instance_host', '')))
    last = f'the last instance was {fields.get("instance")} on {host}'
    times = (
        f'{fields["age_ms"]} ms after it came, {fields["left_ms"]} ms before '
        f'its deadline; {last}, which had it for {fields["served_ms"]} ms'
    )
    match end.event:
        case 'request_answered':
            return f'It was answered {-fields["late_ms"]} ms early, {times}.'
        case 'request_refused':
            ran = 'had not run' if fields['ran'] == 'no' else 'may have run'
            return (
                f'It ended with {fields["code"]} ({fields["reason"]}) and '
                f'{ran}, {times}. It was not sent again: '
                f'{fields["stopped_by"]}.'
            )
        case 'request_failed':
            return (
                f'The instance answered with status {fields["status"]}, '
                f'{times}. It was not sent again: {fields["stopped_by"]}.'
            )
        case 'request_late':
            return f'It was answered {fields["late_ms"]} ms late, {times}.'
        case 'request_left':
            return f'The caller closed its connection, {times}.'
    return f'Its last line is {end.event}, {times}.'


def _context(line: LogLine, end: LogLine) -> str:
    reason = line.fields.get('reason', '')
    shown = f' ({reason})' if reason else ''
    seconds = line.time - end.time
    return f'{line.host}: {line.event}{shown} at {seconds:+.1f} s.'
