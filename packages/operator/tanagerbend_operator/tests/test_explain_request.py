"""Explanation of requests from the lines of several daemons."""

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
SPENT = {'code': 'RETRY_BUDGET_SPENT', 'ran': 'no', 'reason': '1.4 calls'}
FULL = {'code': 'QUEUE_FULL', 'ran': 'no', 'reason': '6 of 6 slots'}


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


def line(time, host, event, **fields):
    told = {'time': time, 'host': host, 'event': event, **fields}
    return f'12.5 {host} {json.dumps(told)}'


@pytest.fixture
def explained(tmp_path, run):
    """Explain a request from lines that are spread over two files."""

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


def test_lines_are_put_together_in_their_order(explained):
    """Guards against a story that begins with its end."""
    status, found = explained(
        line(9.0, 'host-1', 'request_refused', **REQUEST, **FULL),
        line(8.0, 'host-1', 'request_sent_again', **REQUEST, **LOST),
        line(8.5, 'host-1', 'request_refused', **{**REQUEST, 'request': 'b'}),
    )
    assert status == 0
    events = [each['event'] for each in found['lines']]
    assert events == ['request_sent_again', 'request_refused']
    assert found['cause'] == 'overload'
    assert 'sent to another' in found['text']


@pytest.mark.parametrize(
    ('event', 'fields', 'cause'),
    [
        ('request_refused', FULL, 'overload'),
        ('request_refused', LOST, 'no_answer'),
        ('request_refused', SPENT, 'repeats_spent'),
        ('request_failed', {'status': 500}, 'instance_failed'),
        ('request_late', {'status': 200, 'served_ms': 390}, 'instance_slow'),
        ('request_late', {'status': 200, 'served_ms': 90}, 'waited'),
        ('request_left', {}, 'caller_left'),
        ('request_refused', {**LOST, 'code': 'NEW_CODE'}, 'unknown'),
    ],
)
def test_cause_by_the_last_line(explained, event, fields, cause):
    """Guards against the wrong cause for an end."""
    told = {**REQUEST, **fields}
    _, found = explained(line(9.0, 'host-1', event, **told))
    assert found['cause'] == cause


def test_restart_of_the_other_host_is_the_cause(explained):
    """Guards against an instance that is blamed for a killed daemon."""
    _, found = explained(
        line(1.0, 'host-2', 'daemon_started', address='10.0.0.2:80'),
        line(9.0, 'host-1', 'request_refused', **REQUEST, **LOST),
        line(9.4, 'host-2', 'daemon_started', address='10.0.0.2:80'),
        line(9.3, 'host-3', 'daemon_started', address='10.0.0.3:80'),
    )
    assert found['cause'] == 'host_lost'
    assert 'host-2: daemon_started at +0.4 s' in found['text']
    assert 'host-3' not in found['text']


def test_answer_that_was_not_delivered_is_explained(explained):
    """Guards against a request that is lost after its last decision."""
    status, found = explained(
        line(8.0, 'host-2', 'answer_sent', **{**DELIVERY, 'purpose': 'placed'}),
        line(9.0, 'host-1', 'answer_left', **DELIVERY),
    )
    assert status == 0
    assert found['cause'] == 'link'
    assert 'host-2 sent the answer of 90000 bytes to another' in found['text']
    assert 'host-1 could not send' in found['text']


def test_late_answer_that_waited_for_a_link_is_explained(explained):
    """Guards against an instance that is blamed for the link of its host."""
    late = {**REQUEST, 'status': 200, 'served_ms': 90}
    sent = line(8.0, 'host-2', 'answer_sent', **DELIVERY)
    _, found = explained(sent, line(9.0, 'host-1', 'request_late', **late))
    assert found['cause'] == 'link'
    fast = {**DELIVERY, 'turns_ms': 20}
    sent = line(8.0, 'host-2', 'answer_sent', **fast)
    _, found = explained(sent, line(9.0, 'host-1', 'request_late', **late))
    assert found['cause'] == 'waited'


def test_request_without_a_line(explained):
    """Guards against a cause that is made up."""
    status, text = explained(
        line(1.0, 'host-1', 'daemon_started'),
        line(2.0, 'host-2', 'daemon_started'),
        line(3.0, 'host-2', 'daemon_stopped'),
        line(4.0, 'host-2', 'daemon_started'),
        line(9.0, 'host-1', 'daemon_started'),
    )
    assert status == 1
    assert 'host-1 started again' in text
    assert 'host-2' not in text


def test_failed_requests_of_a_route_and_a_time(explained):
    """Guards against requests of other routes or times in the list."""
    late = {**REQUEST, 'request': 'c', 'status': 200}
    other = {**REQUEST, 'request': 'd', 'route': 'stock'}
    status, found = explained(
        line(2.0, 'host-1', 'request_refused', **REQUEST, **FULL),
        line(900.0, 'host-1', 'request_late', **late),
        line(901.0, 'host-2', 'request_refused', **other, **FULL),
        subject=(),
        options=('--route', 'orders', '--since', '5m'),
    )
    assert status == 0
    assert [each['request'] for each in found['requests']] == ['c']
    assert found['causes'] == {'waited': 1}


def test_neither_subject_nor_logs(run):
    """Guards against a search for nothing."""
    assert run('explain')[0] == 2


CONVICTED = {
    'code': 'REQUEST_CRASHES_BACKEND',
    'ran': 'no',
    'reason': 'request 7f ended the instances i-2, i-3, i-4',
}


def test_refused_request_names_the_instances_that_it_ended(explained):
    """Guards against a refusal whose reason nobody finds."""
    told = {**REQUEST, **CONVICTED}
    _code, found = explained(line(10.0, 'host-1', 'request_refused', **told))
    assert 'i-2, i-3, i-4' in found['text']
    assert found['cause'] == 'ends_instances'


def test_neighbour_of_a_crash_is_told_from_other_losses(explained):
    """Guards against a crash that looks like a lost connection."""
    _code, found = explained(
        line(9.0, 'host-2', 'daemon_started', address='10.0.0.2:1'),
        line(10.0, 'host-1', 'request_refused', **REQUEST, **LOST),
        line(10.0, 'host-2', 'instance_crashed', instance='i-2'),
    )
    assert found['cause'] == 'instance_ended'
