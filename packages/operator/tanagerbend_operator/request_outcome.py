"""Outcome and cause of a request, derived from log lines of the daemons."""

import enum
import math
from collections.abc import Iterable
from typing import Any, Final

import attrs

from tanagerbend_operator.log_lines import LogLine, Logs

# Lines of the involved hosts are included if they are this close to the end
# of the request; restarts and outages last a few seconds.
CONTEXT_SECONDS: Final = 5.0
# Events that end a request that was not served on time.
FAILURE_EVENTS: Final = frozenset(
    ('request_refused', 'request_failed', 'request_late', 'request_left'),
)
# Events for the sending of a large answer by a host.
DELIVERY_EVENTS: Final = frozenset(('answer_sent', 'answer_left'))
RECIPIENTS: Final = {'answers': 'the caller', 'placed': 'another daemon'}
# Events of a host that can interrupt the requests sent to it.
RESTART_EVENTS: Final = frozenset(('daemon_started', 'daemon_stopping'))


class Cause(enum.Enum):
    """Cause of the outcome of a request, with its description."""

    OVERLOAD = 'more work than the instances could do in time'
    ENDS_INSTANCES = 'the request crashes the instances that run it'
    INSTANCE_ENDED = 'the instance crashed while it ran the request'
    REPEATS_SPENT = 'the retry budget of a service that it calls was spent'
    NO_INSTANCE = 'no instance could be reached'
    HOST_LOST = 'the daemon of the instance restarted or was lost'
    NO_ANSWER = 'the instance or its daemon sent no whole answer in time'
    INSTANCE_FAILED = 'the instance failed or sent an incomplete answer'
    INSTANCE_SLOW = 'the instance took most of the time'
    LINK = 'large answers filled the link of a host'
    WAITED = 'most of the time was spent waiting or at other instances'
    NONE = 'none, it was answered on time'
    CALLER_LEFT = 'the caller closed its connection'
    CONFIGURATION = 'the configuration in force does not allow the request'
    STOPPING = 'the instance or its daemon was stopping'
    UNKNOWN = 'the log lines do not show the cause'


CAUSE_BY_CODE: Final = {
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
class RequestOutcome:
    """Outcome of one request.

    Parameters
    ==========

    request : str
    cause : Cause
    text : str
        Description of the course of the request, in one paragraph.
    lines : tuple of LogLine
        Lines of the request, then those of its hosts around its end.
    """

    request: str
    cause: Cause
    text: str
    lines: tuple[LogLine, ...]

    def encode(self) -> dict[str, Any]:
        """Return the outcome as a JSON object."""
        return {
            'request': self.request,
            'cause': self.cause.name.lower(),
            'meaning': self.cause.value,
            'text': self.text,
            'lines': [line.fields for line in self.lines],
        }


def reconstruct_request(logs: Logs, identifier: str) -> RequestOutcome | None:
    """Return the outcome of a request, None if no line refers to it."""
    request_lines = logs.lines_of_request(identifier)
    if not request_lines:
        return None
    decisions = [
        line for line in request_lines if line.event not in DELIVERY_EVENTS
    ]
    deliveries = [
        line for line in request_lines if line.event in DELIVERY_EVENTS
    ]
    end = decisions[-1] if decisions else deliveries[-1]
    context = _host_context(logs, end)
    cause = find_cause(end, context, deliveries)
    sentences = [_describe_delivery(line) for line in deliveries]
    if decisions:
        steps = map(_describe_retry, decisions[:-1])
        sentences = [
            _describe_arrival(end),
            *steps,
            _describe_end(logs, end),
            *sentences,
        ]
    sentences.append(f'Cause: {cause.value}.')
    sentences += [_describe_context(line, end) for line in context]
    return RequestOutcome(
        identifier,
        cause,
        ' '.join(sentences),
        (*request_lines, *context),
    )


def find_cause(
    end: LogLine,
    context: list[LogLine],
    deliveries: Iterable[LogLine] = (),
) -> Cause:
    """Determine the cause of the outcome of a request.

    Parameters
    ==========

    end : LogLine
        Last line about a decision on the request, else its last line.
    context : list of LogLine
        Lines of the involved hosts around that time.
    deliveries : iterable of LogLine
        Lines about the sending of large answers of the request.
    """
    if any(_was_delayed_by_link(line, end) for line in deliveries):
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
            return _refusal_cause(end, context)
    return Cause.UNKNOWN


def _refusal_cause(end: LogLine, context: list[LogLine]) -> Cause:
    cause = CAUSE_BY_CODE.get(end.fields['code'], Cause.UNKNOWN)
    has_restart = any(
        line.event in RESTART_EVENTS and line.host != end.host
        for line in context
    )
    if cause is not Cause.NO_ANSWER:
        return cause
    if any(line.event == 'instance_crashed' for line in context):
        return Cause.INSTANCE_ENDED
    return Cause.HOST_LOST if has_restart else cause


def _was_delayed_by_link(line: LogLine, end: LogLine) -> bool:
    """Return whether the link of a host made a request late or fail."""
    if line.event == 'answer_left':
        return True
    waited = 2 * line.fields['turns_ms'] > end.fields.get('age_ms', math.inf)
    return waited and end.event in FAILURE_EVENTS


def _describe_delivery(line: LogLine) -> str:
    """Describe how a host sent a large answer."""
    fields = line.fields
    recipient = RECIPIENTS.get(str(fields['purpose']), 'its reader')
    what = 'sent' if line.event == 'answer_sent' else 'could not send'
    return (
        f'{line.host} {what} the answer of {fields["bytes"]} bytes to '
        f'{recipient}: {fields["all_ms"]} ms, of which it waited '
        f'{fields["turns_ms"]} ms for the link, with {fields["ahead_ms"]} ms '
        'of others ahead.'
    )


def _host_context(logs: Logs, end: LogLine) -> list[LogLine]:
    """Return the lines of both hosts of a request around its end."""
    address = str(end.fields.get('instance_host', ''))
    hosts = {end.host, logs.host_name_at(address)}
    nearby = [
        line
        for host in hosts
        for line in logs.host_lines_near(host, end.time, CONTEXT_SECONDS)
        if _concerns_instance(line, end)
    ]
    return sorted(nearby, key=lambda line: line.time)


def _concerns_instance(line: LogLine, end: LogLine) -> bool:
    """Return whether a line concerns the daemon or the last instance."""
    named = line.fields.get('instance')
    return named is None or named == end.fields.get('instance')


def _describe_arrival(end: LogLine) -> str:
    fields = end.fields
    if not end.route:
        return f'The request came to {end.host}, version {fields["version"]}.'
    return (
        f'The request came to {end.host} on route {end.route} '
        f'(service {fields["service"]}, rank {fields["rank"]}, '
        f'version {fields["version"]}).'
    )


def _describe_retry(line: LogLine) -> str:
    fields = line.fields
    what = fields.get('code') or f'status {fields.get("status")}'
    return (
        f'After {fields["age_ms"]} ms instance {fields.get("instance")} gave '
        f'{what} ({fields.get("reason", "its own answer")}), and it was sent '
        'to another.'
    )


def _describe_end(logs: Logs, end: LogLine) -> str:
    fields = end.fields
    if not end.route:
        return f'It was refused with {fields["code"]}: {fields["reason"]}.'
    host = logs.host_name_at(str(fields.get('instance_host', '')))
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


def _describe_context(line: LogLine, end: LogLine) -> str:
    reason = line.fields.get('reason', '')
    shown = f' ({reason})' if reason else ''
    seconds = line.time - end.time
    return f'{line.host}: {line.event}{shown} at {seconds:+.1f} s.'
