"""Encoding and decoding of the headers between daemons."""

import attrs
import pytest
from multidict import CIMultiDict

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Outcome, Placed
from tanagerbend_routing import LoadReport, Repeat

ANSWER = Answer(200, CIMultiDict(), b'body')
PLACED = Placed('i-1', 'browse', 2, Repeat.NEVER, -0.25, 1.5)


def test_placement_is_read_as_written():
    """Guards against an order that another daemon takes for repeatable."""
    assert Placed.decode(PLACED.encode()) == PLACED


def test_placement_of_a_repeat_is_unchanged_for_earlier_releases():
    """Guards against repeats that are refused during a rolling upgrade."""
    repeat = attrs.evolve(PLACED, repeated=1.0)
    assert repeat.encode() == PLACED.encode()


def test_share_of_a_repeat_is_read_as_written():
    """Guards against repeats that the owner of an instance doesn't count."""
    for share in (0.0, 0.125, 1.0):
        repeat = attrs.evolve(PLACED, repeated=share)
        assert (
            Placed.decode(repeat.encode(), repeat.encode_repeated()) == repeat
        )


@pytest.mark.parametrize('text', ('x', 'nan', 'inf', '1e999', '[]'))
def test_share_that_is_no_number_is_refused(text):
    """Guards against a share that corrupts the counts of repeats."""
    assert isinstance(Placed.decode(PLACED.encode(), text), Refusal)


@pytest.mark.parametrize(('text', 'share'), [('-3', 0.0), ('7', 1.0)])
def test_share_is_limited_to_valid_range(text, share):
    """Guards against a faulty daemon that exhausts the budgets of others."""
    assert Placed.decode(PLACED.encode(), text).repeated == share


@pytest.mark.parametrize('text', ('', '7', '[]', '["i-1"]', '{}', '[' * 99))
def test_broken_placement_is_refused(text):
    """Guards against running a request without a valid placement."""
    match Placed.decode(text):
        case Refusal(code=code, ran=ran):
            assert code is ResultCode.HEADER_INVALID
            assert ran is Ran.NO
        case decoded:
            pytest.fail(f'decoded as {decoded}')


def test_outcome_is_read_as_written():
    """Guards against a "not run" that the owner did not send."""
    refusal = Refusal(ResultCode.CONNECTION_LOST, 'why', Ran.UNKNOWN)
    sent = Outcome(refusal, LoadReport(3, 6, 0.5), is_offered=True)
    carrier = Answer(200, CIMultiDict(), b'why')
    assert Outcome.decode(sent.encode(), carrier) == sent


@pytest.mark.parametrize('text', ('', '[]', '[999,"no",0,0,0,0]', 'x'))
def test_answer_that_is_not_from_a_daemon_promises_nothing(text):
    """Guards against a false "not run" from a process that is no daemon."""
    end = Outcome.decode(text, ANSWER).result
    assert isinstance(end, Refusal)
    assert end.ran is Ran.UNKNOWN


@pytest.mark.parametrize('position', range(3, 9))
@pytest.mark.parametrize('invalid', ['"x"', 'null', '[]', 'NaN', '1e999'])
def test_load_that_is_no_number_is_rejected(position, invalid):
    """Guards against an invalid load that corrupts later load balancing."""
    fields = ['0', '"yes"', 'true', '1', '6', '0.1', '0.0', '0.0', '0.0']
    fields[position] = invalid
    outcome = Outcome.decode(f'[{", ".join(fields)}]', ANSWER)
    assert isinstance(outcome.result, Refusal)
    assert outcome.load is None


@pytest.mark.parametrize('text', ['[' * 60000, '["a","b",0,"never",1e999,1]'])
def test_headers_of_another_daemon_raise_nothing(text):
    """Guards against a header that raises an exception in this daemon."""
    assert isinstance(Placed.decode(text), Refusal)
    assert isinstance(Outcome.decode(text, ANSWER).result, Refusal)


def test_answer_that_names_no_outcome_counts_as_an_offer():
    """Guards against more attempts than the route allows."""
    stopping = Answer(504, CIMultiDict(), b'{}')
    assert Outcome.decode('', stopping).is_offered
