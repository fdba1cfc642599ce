"""Tests of the ledger: limits, eviction and repeated requests."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_orders import (
    DuplicateOrder,
    Ledger,
    LedgerLimits,
    NewOrder,
    OrderKeyIssuer,
    OrderState,
    RecordedAnswer,
)
from tanagerbend_timer import ManualTimer

UNREACHABLE = Refusal(ResultCode.INSTANCE_UNREACHABLE, '')
ANSWER = RecordedAnswer(200, (), b'printed')


def begin(ledger, key, request=b'request'):
    """Begin an order, assert that it is new and return its record."""
    begun = ledger.begin(key, request)
    assert isinstance(begun, NewOrder)
    return begun.record


def test_repeated_request_gets_recorded_answer(ledger, key):
    """Guards against running an order twice after its answer was lost."""
    record = begin(ledger, key)
    assert ledger.start(record)
    assert ledger.status(key).code is ResultCode.ORDER_IN_PROGRESS
    ledger.finish(record, ANSWER)
    repeat = ledger.begin(key, b'request')
    assert isinstance(repeat, DuplicateOrder)
    assert repeat.record.outcome() == ANSWER
    assert not ledger.start(record)


def test_different_request_with_same_key_is_refused(ledger, key):
    """Guards against one key that is used for two requests."""
    record = begin(ledger, key)
    refusal = ledger.begin(key, b'another request')
    assert refusal.code is ResultCode.ORDER_REQUEST_DIFFERS
    assert record.state is OrderState.IN_PROGRESS


def test_full_ledger_refuses_and_keeps_its_records(issuer, ledger):
    """Guards against evicting a record before its key expires."""
    keys = [issuer.issue('print', 'host-1', 7) for _ in range(5)]
    for key in keys[:2]:
        ledger.finish(begin(ledger, key), ANSWER)
    refusals = [ledger.begin(key, b'request') for key in keys[2:]]
    assert {refusal.code for refusal in refusals} == {
        ResultCode.ORDER_LEDGER_FULL,
    }
    # Only two keys can be voided, so the order of the last may still run.
    assert [refusal.ran for refusal in refusals] == [
        Ran.NO,
        Ran.NO,
        Ran.UNKNOWN,
    ]
    assert all(
        isinstance(ledger.begin(key, b'request'), DuplicateOrder)
        for key in keys[:2]
    )


def test_voided_key_never_begins(ledger, key):
    """Guards against a late duplicate running after the answer "not run"."""
    assert ledger.void(key).ran is Ran.NO
    assert ledger.begin(key, b'request').code is ResultCode.ORDER_KEY_VOID


def test_refused_order_never_begins(ledger, key):
    """Guards against a late duplicate running after the order was refused."""
    ledger.refuse(begin(ledger, key), UNREACHABLE)
    assert ledger.begin(key, b'request').code is ResultCode.ORDER_KEY_VOID
    assert ledger.status(key).ran is Ran.NO


def test_begun_order_cannot_be_voided(ledger, key):
    """Guards against reporting "not run" for an order that is running."""
    begin(ledger, key)
    assert ledger.void(key).ran is Ran.UNKNOWN


async def test_expired_key_has_unknown_outcome(timer, ledger, key):
    """Guards against running an order twice after its record was evicted."""
    ledger.finish(begin(ledger, key), ANSWER)
    await timer.advance(61.0)
    ledger.evict()
    assert not ledger.records
    refusal = ledger.begin(key, b'request')
    assert refusal.code is ResultCode.ORDER_KEY_EXPIRED
    assert refusal.ran is Ran.UNKNOWN


async def test_running_order_is_kept_after_its_key_expires(timer, ledger, key):
    """Guards against losing the answer of a slow order."""
    record = begin(ledger, key)
    await timer.advance(61.0)
    ledger.evict()
    ledger.finish(record, ANSWER)
    assert ledger.status(key) == ANSWER


def test_oldest_answers_beyond_the_limit_are_dropped(issuer, ledger):
    """Guards against memory that grows with recorded answers."""
    keys = [issuer.issue('print', 'host-1', 7) for _ in range(2)]
    for key in keys:
        ledger.finish(begin(ledger, key), RecordedAnswer(200, (), b'x' * 15))
    dropped = ledger.status(keys[0])
    assert dropped.code is ResultCode.ORDER_ANSWER_DROPPED
    assert dropped.ran is Ran.YES
    assert ledger.status(keys[1]).body == b'x' * 15


class LedgerMachine(RuleBasedStateMachine):
    """Runs random sequences of operations on a small ledger."""

    def __init__(self):
        super().__init__()
        self.timer = ManualTimer()
        self.issuer = OrderKeyIssuer(b'a shared key', self.timer, lifetime=30.0)
        limits = LedgerLimits(3, 3, 20, 15)
        self.ledger = Ledger(Recorder(self.timer), limits)
        self.keys = []
        self.running_records = []
        self.starts = {}
        self.not_run = set()

    def choose_key(self, index):
        """Return a recent key, or a new one for index 0."""
        if not index or not self.keys:
            self.keys.append(self.issuer.issue('print', 'host-1', 7))
        return self.keys[-min(max(index, 1), len(self.keys))]

    def record_outcome(self, key, outcome):
        match outcome:
            case Refusal(ran=Ran.NO):
                self.not_run.add(key.nonce)

    @rule(index=strategies.integers(0, 3))
    def begin(self, index):
        key = self.choose_key(index)
        begun = self.ledger.begin(key, b'request')
        self.record_outcome(key, begun)
        match begun:
            case NewOrder(record=record):
                self.running_records.append(record)

    @rule(index=strategies.integers(0, 3))
    def void(self, index):
        key = self.choose_key(index)
        self.record_outcome(key, self.ledger.void(key))

    @rule(index=strategies.integers(0, 3))
    def start(self, index):
        if self.running_records:
            record = self.running_records[index % len(self.running_records)]
            if self.ledger.start(record):
                nonce = record.key.nonce
                self.starts[nonce] = self.starts.get(nonce, 0) + 1

    @rule(ending=strategies.sampled_from(['finish', 'fail', 'refuse']))
    def end(self, ending):
        if not self.running_records:
            return
        record = self.running_records.pop()
        if ending == 'refuse' and not record.starts:
            self.ledger.refuse(record, UNREACHABLE)
            self.not_run.add(record.key.nonce)
        elif ending == 'finish':
            self.ledger.finish(record, RecordedAnswer(200, (), b'0123456789'))
        else:
            self.ledger.fail(record, UNREACHABLE)

    @rule(seconds=strategies.sampled_from([1.0, 5.0, 31.0]))
    def wait(self, seconds):
        self.timer.time += seconds

    @invariant()
    def no_order_runs_twice(self):
        assert all(count == 1 for count in self.starts.values())

    @invariant()
    def orders_reported_not_run_never_started(self):
        assert not self.not_run & self.starts.keys()

    @invariant()
    def memory_is_bounded(self):
        assert len(self.ledger.records) <= 6
        assert self.ledger.answer_bytes <= 20


LedgerMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
    database=None,
)
test_random_sequences_of_operations = LedgerMachine.TestCase
