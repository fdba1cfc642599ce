"""Tests of the explanation of requests from log lines."""

import json

import pytest

REQUEST = {
    'request': 'a1',
    'route': 'orders',
    'service': 'shop',
    'rank': 1,
    'version': 4,
    'instance': 'i-2',
    'instance_host': '10.0.0.2',
    'stopped_by': 'the route allows no more attempts',
    'offered': 1,
    'placed': 1,
    'served_ms': 0,
    'age_ms': 400,
    'left_ms': 600,
    'late_ms': -100,
}
LOST = {'code': 'CONNECTION_LOST', 'ran': 'unknown', 'reason': 'reset'}
BUDGET_SPENT = {
    'code': 'RETRY_BUDGET_SPENT',
    'ran': 'no',
    'reason': '1.4 calls',
}
QUEUE_FULL = {'code': 'QUEUE_FULL', 'ran': 'no', 'reason': '6 of 6 slots'}


DELIVERY = {
    'request': 'a1',
    'purpose': 'answers',
    'rank': 2,
    'bytes': 90000,
    'written': 16384,
    'ahead_ms': 900,
    'turns_ms': 350,
    'all_ms': 360,
    'unused_kb': 0,
}


def log_line(time, host, event, **fields):
    line_fields = {'time': time, 'host': host, 'event': event, **fields}
    return f'12.5 {host} {json.dumps(line_fields)}'


@pytest.fixture
def explain_from_lines(tmp_path, run):
    """Return a function that explains lines distributed over two files."""

    def explain(*lines, subject=('a1',), options=()):
        halves = lines[::2], lines[1::2]
        names = []
        for number, half in enumerate(halves):
            path = tmp_path / f'{number}.log'
            path.write_text('\n'.join(('bench: begun', *half)))
            names.append(str(path))
        status, found, errors = run(
            'explain', *subject, '--log', *names, '--json', *options
        )
        return status, found or errors

    return explain


def test_lines_are_merged_in_time_order(explain_from_lines):
    """Guards against lines in file order instead of time order."""
    status, found = explain_from_lines(
        log_line(9.0, 'host-1', 'request_refused', **REQUEST, **QUEUE_FULL),
        log_line(8.0, 'host-1', 'request_sent_again', **REQUEST, **LOST),
        log_line(
            8.5, 'host-1', 'request_refused', **{**REQUEST, 'request': 'b'}
        ),
    )
    assert status == 0
    events = [entry['event'] for entry in found['lines']]
    assert events == ['request_sent_again', 'request_refused']
    assert found['cause'] == 'overload'
    assert 'sent to another' in found['text']


@pytest.mark.parametrize(
    ('event', 'fields', 'cause'),
    [
        ('request_refused', QUEUE_FULL, 'overload'),
        ('request_refused', LOST, 'no_answer'),
        ('request_refused', BUDGET_SPENT, 'repeats_spent'),
        ('request_failed', {'status': 500}, 'instance_failed'),
        ('request_late', {'status': 200, 'served_ms': 390}, 'instance_slow'),
        ('request_late', {'status': 200, 'served_ms': 90}, 'waited'),
        ('request_left', {}, 'caller_left'),
        ('request_refused', {**LOST, 'code': 'NEW_CODE'}, 'unknown'),
    ],
)
def test_cause_by_the_last_line(explain_from_lines, event, fields, cause):
    """Guards against a wrong cause for an event or result code."""
    line_fields = {**REQUEST, **fields}
    _, found = explain_from_lines(log_line(9.0, 'host-1', event, **line_fields))
    assert found['cause'] == cause


def test_restart_of_the_instance_host_is_the_cause(explain_from_lines):
    """Guards against blaming an instance whose daemon restarted."""
    _, found = explain_from_lines(
        log_line(1.0, 'host-2', 'daemon_started', address='10.0.0.2:80'),
        log_line(9.0, 'host-1', 'request_refused', **REQUEST, **LOST),
        log_line(9.4, 'host-2', 'daemon_started', address='10.0.0.2:80'),
        log_line(9.3, 'host-3', 'daemon_started', address='10.0.0.3:80'),
    )
    assert found['cause'] == 'host_lost'
    assert 'host-2: daemon_started at +0.4 s' in found['text']
    assert 'host-3' not in found['text']


def test_undelivered_answer_is_explained(explain_from_lines):
    """Guards against a request without lines other than deliveries."""
    status, found = explain_from_lines(
        log_line(
            8.0, 'host-2', 'answer_sent', **{**DELIVERY, 'purpose': 'placed'}
        ),
        log_line(9.0, 'host-1', 'answer_left', **DELIVERY),
    )
    assert status == 0
    assert found['cause'] == 'link'
    assert 'host-2 sent the answer of 90000 bytes to another' in found['text']
    assert 'host-1 could not send' in found['text']


def test_late_answer_that_waited_for_a_link_is_explained(explain_from_lines):
    """Guards against blaming an instance for the link of its host."""
    late = {**REQUEST, 'status': 200, 'served_ms': 90}
    sent = log_line(8.0, 'host-2', 'answer_sent', **DELIVERY)
    _, found = explain_from_lines(
        sent, log_line(9.0, 'host-1', 'request_late', **late)
    )
    assert found['cause'] == 'link'
    fast = {**DELIVERY, 'turns_ms': 20}
    sent = log_line(8.0, 'host-2', 'answer_sent', **fast)
    _, found = explain_from_lines(
        sent, log_line(9.0, 'host-1', 'request_late', **late)
    )
    assert found['cause'] == 'waited'


def test_request_without_lines_lists_unclean_restarts(explain_from_lines):
    """Guards against a cause without evidence, or missing restarts."""
    status, text = explain_from_lines(
        log_line(1.0, 'host-1', 'daemon_started'),
        log_line(2.0, 'host-2', 'daemon_started'),
        log_line(3.0, 'host-2', 'daemon_stopped'),
        log_line(4.0, 'host-2', 'daemon_started'),
        log_line(9.0, 'host-1', 'daemon_started'),
    )
    assert status == 1
    assert 'host-1 started again' in text
    assert 'host-2' not in text


def test_failed_requests_of_a_route_and_a_time(explain_from_lines):
    """Guards against listing requests of other routes or times."""
    late = {**REQUEST, 'request': 'c', 'status': 200}
    other = {**REQUEST, 'request': 'd', 'route': 'stock'}
    status, found = explain_from_lines(
        log_line(2.0, 'host-1', 'request_refused', **REQUEST, **QUEUE_FULL),
        log_line(900.0, 'host-1', 'request_late', **late),
        log_line(901.0, 'host-2', 'request_refused', **other, **QUEUE_FULL),
        subject=(),
        options=('--route', 'orders', '--since', '5m'),
    )
    assert status == 0
    assert [entry['request'] for entry in found['requests']] == ['c']
    assert found['causes'] == {'waited': 1}


def test_neither_subject_nor_logs_is_status_2(run):
    """Guards against a search without any criterion."""
    assert run('explain')[0] == 2


CONVICTED = {
    'code': 'REQUEST_CRASHES_BACKEND',
    'ran': 'no',
    'reason': 'request 7f ended the instances i-2, i-3, i-4',
}


def test_refused_request_names_the_instances_that_it_crashed(
    explain_from_lines,
):
    """Guards against a conviction without the crashed instances."""
    fields = {**REQUEST, **CONVICTED}
    _code, found = explain_from_lines(
        log_line(10.0, 'host-1', 'request_refused', **fields)
    )
    assert 'i-2, i-3, i-4' in found['text']
    assert found['cause'] == 'ends_instances'


def test_connection_lost_to_a_crashed_instance_is_distinguished(
    explain_from_lines,
):
    """Guards against reporting a crash as a lost connection."""
    _code, found = explain_from_lines(
        log_line(9.0, 'host-2', 'daemon_started', address='10.0.0.2:1'),
        log_line(10.0, 'host-1', 'request_refused', **REQUEST, **LOST),
        log_line(10.0, 'host-2', 'instance_crashed', instance='i-2'),
    )
    assert found['cause'] == 'instance_ended'
