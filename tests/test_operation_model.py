"""The operation protocol: its model, and the tables of home and witness.

The home of an operation key is the only instance that may run it; the witness records
whether it may have run. The tests guard against a key that runs twice and against
reports about a key that turn out wrong, if messages are lost, delayed, duplicated or
reordered, or the witness restarts.
"""

import random

import pytest

from spec.operation import RULE_NAMES, Rules, check
from turmericrudder.control import OperationOutcome, WitnessReply, WitnessStatus
from turmericrudder.operation import (
    AlreadyFinished,
    HomeTable,
    KeyPrefix,
    NewKey,
    OutcomeUnknown,
    WitnessTable,
)
from turmericrudder.settings import LimitSettings

SEEDS = range(400)
STEPS = 600
RAN = OperationOutcome(ran=True, status=200)
NOT_RUN = OperationOutcome(ran=False)


def test_properties_hold_in_every_state():
    states, traces = check(Rules())
    assert states > 100
    assert set(traces.values()) == {None}


@pytest.mark.parametrize("rule", RULE_NAMES)
def test_model_finds_violation_without_rule(rule):
    _, traces = check(Rules(**{rule: False}))
    assert any(traces.values())


class TableSimulation:
    """Home and witness tables whose messages may be lost, delayed or duplicated."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        limits = LimitSettings(operation_keys=60)
        self.home = HomeTable(limits)
        self.witness = WitnessTable("w1", limits)
        self.epochs, self.opened, self.messages = [], set(), []
        self.marking, self.running = set(), set()
        self.runs, self.not_run, self.outcomes = {}, set(), {}

    def step(self):
        steps = (
            self.open_epoch,
            self.deliver_message,
            self.deliver_message,
            self.deliver_message,
            self.request_home,
        )
        steps += (
            self.request_home,
            self.void_at_witness,
            self.finish_key,
            self.time_out_mark,
        )
        self.random.choice(steps)()
        if self.random.random() < 0.002:
            self.witness = WitnessTable("w2", LimitSettings(operation_keys=60))
        for key, runs in self.runs.items():
            assert runs == 1
            assert key not in self.not_run
        for key in self.outcomes:
            assert self.runs.get(key) == 1

    def open_epoch(self):
        if self.random.random() < 0.3:
            epoch = str(KeyPrefix("h", "h1", len(self.epochs) + 1, "w", "w1"))
            self.epochs.append(epoch)
            self.messages.append(("open", epoch, ""))

    def choose_key(self):
        if not self.opened:
            return None
        epoch = self.random.choice(sorted(self.opened)[-12:])
        return epoch, f"key{self.random.randrange(12)}"

    def request_home(self):
        key = self.choose_key()
        if key is None:
            return
        match self.home.start(*key):
            case NewKey():
                self.marking.add(key)
                self.messages.append(("mark", *key))
            case AlreadyFinished(outcome):
                self.record_reported_outcome(key, outcome)
            case OutcomeUnknown():
                pass

    def deliver_message(self):
        if not self.messages:
            return
        kind, epoch, key = self.random.choice(self.messages[-40:])
        if kind == "open" and self.witness.open(epoch).status is WitnessStatus.DONE:
            if epoch not in self.opened:
                self.opened.add(epoch)
                self.home.open(epoch)
        elif kind == "mark":
            self.handle_mark((epoch, key))
        elif kind in ("ran", "not_run"):
            self.witness.record_outcome(epoch, key, RAN if kind == "ran" else NOT_RUN)

    def handle_mark(self, key):
        is_marked = self.witness.mark(*key).status is WitnessStatus.DONE
        if key not in self.marking or self.random.random() < 0.2:
            return
        self.marking.discard(key)
        if is_marked and self.random.random() < 0.9:
            self.runs[key] = self.runs.get(key, 0) + 1
            self.running.add(key)
        else:
            self.void_at_home(key)

    def time_out_mark(self):
        if self.marking:
            key = self.random.choice(sorted(self.marking))
            self.marking.discard(key)
            self.void_at_home(key)

    def void_at_home(self, key):
        self.home.void(*key)
        self.not_run.add(key)
        self.messages.append(("not_run", *key))

    def finish_key(self):
        if not self.running:
            return
        key = self.random.choice(sorted(self.running))
        self.running.discard(key)
        if self.random.random() < 0.2:
            self.home.set_unknown(*key)
            return
        self.home.finish(*key, RAN)
        self.messages.append(("ran", *key))

    def void_at_witness(self):
        key = self.choose_key()
        if key is not None:
            reply = self.witness.resolve(*key)
            if reply.status is WitnessStatus.OUTCOME:
                self.record_reported_outcome(key, reply.outcome)

    def record_reported_outcome(self, key, outcome):
        if outcome.ran:
            self.outcomes[key] = outcome
        else:
            self.not_run.add(key)


def test_simulation_finds_witness_that_does_not_void(monkeypatch):
    def resolve(self, epoch, key):
        if self._table.get(epoch, key) is None:
            return WitnessReply(WitnessStatus.OUTCOME, NOT_RUN)
        return WitnessReply(WitnessStatus.REFUSED)

    monkeypatch.setattr(WitnessTable, "resolve", resolve)
    with pytest.raises(AssertionError):
        test_tables_run_each_key_at_most_once_in_any_order()


def test_tables_run_each_key_at_most_once_in_any_order():
    runs = 0
    for seed in SEEDS:
        simulation = TableSimulation(seed)
        for _ in range(STEPS):
            simulation.step()
        runs += len(simulation.runs)
    assert runs > 1000
