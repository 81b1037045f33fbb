"""The operation protocol: the model, its breaks, and the real tables."""

import random

import pytest

from spec.operation import BREAKS, Rules, check
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


def test_protocol_holds_in_every_state():
    states, traces = check(Rules())
    assert states > 100
    assert set(traces.values()) == {None}


@pytest.mark.parametrize("rule", BREAKS)
def test_model_finds_each_broken_rule(rule):
    _, traces = check(Rules(**{rule: False}))
    assert any(traces.values())


class TableRun:
    """The real tables under a network that loses, delays and repeats."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        limits = LimitSettings(operation_keys=60)
        self.home = HomeTable(limits)
        self.witness = WitnessTable("w1", limits)
        self.epochs, self.opened, self.mail = [], set(), []
        self.marking, self.running = set(), set()
        self.runs, self.not_run, self.outcomes = {}, set(), {}

    def step(self):
        steps = (self.open, self.deliver, self.deliver, self.deliver, self.ask_home)
        steps += (self.ask_home, self.ask_witness, self.finish, self.time_out)
        self.random.choice(steps)()
        if self.random.random() < 0.002:
            self.witness = WitnessTable("w2", LimitSettings(operation_keys=60))
        for key, runs in self.runs.items():
            assert runs == 1
            assert key not in self.not_run
        for key in self.outcomes:
            assert self.runs.get(key) == 1

    def open(self):
        if self.random.random() < 0.3:
            epoch = str(KeyPrefix("h", "h1", len(self.epochs) + 1, "w", "w1"))
            self.epochs.append(epoch)
            self.mail.append(("open", epoch, ""))

    def pick(self):
        if not self.opened:
            return None
        epoch = self.random.choice(sorted(self.opened)[-12:])
        return epoch, f"key{self.random.randrange(12)}"

    def ask_home(self):
        key = self.pick()
        if key is None:
            return
        match self.home.start(*key):
            case NewKey():
                self.marking.add(key)
                self.mail.append(("mark", *key))
            case AlreadyFinished(outcome):
                self.tell(key, outcome)
            case OutcomeUnknown():
                pass

    def deliver(self):
        if not self.mail:
            return
        kind, epoch, key = self.random.choice(self.mail[-40:])
        if kind == "open" and self.witness.open(epoch).status is WitnessStatus.DONE:
            if epoch not in self.opened:
                self.opened.add(epoch)
                self.home.open(epoch)
        elif kind == "mark":
            self.take_mark((epoch, key))
        elif kind in ("ran", "not_run"):
            self.witness.record_outcome(epoch, key, RAN if kind == "ran" else NOT_RUN)

    def take_mark(self, key):
        done = self.witness.mark(*key).status is WitnessStatus.DONE
        if key not in self.marking or self.random.random() < 0.2:
            return
        self.marking.discard(key)
        if done and self.random.random() < 0.9:
            self.runs[key] = self.runs.get(key, 0) + 1
            self.running.add(key)
        else:
            self.void(key)

    def time_out(self):
        if self.marking:
            key = self.random.choice(sorted(self.marking))
            self.marking.discard(key)
            self.void(key)

    def void(self, key):
        self.home.void(*key)
        self.not_run.add(key)
        self.mail.append(("not_run", *key))

    def finish(self):
        if not self.running:
            return
        key = self.random.choice(sorted(self.running))
        self.running.discard(key)
        if self.random.random() < 0.2:
            self.home.set_unknown(*key)
            return
        self.home.finish(*key, RAN)
        self.mail.append(("ran", *key))

    def ask_witness(self):
        key = self.pick()
        if key is not None:
            answer = self.witness.void(*key)
            if answer.status is WitnessStatus.OUTCOME:
                self.tell(key, answer.outcome)

    def tell(self, key, outcome):
        if outcome.ran:
            self.outcomes[key] = outcome
        else:
            self.not_run.add(key)


def test_run_finds_a_witness_that_does_not_void(monkeypatch):
    def void(self, epoch, key):
        if self._table.get(epoch, key) is None:
            return WitnessReply(WitnessStatus.OUTCOME, NOT_RUN)
        return WitnessReply(WitnessStatus.REFUSED)

    monkeypatch.setattr(WitnessTable, "void", void)
    with pytest.raises(AssertionError):
        test_tables_keep_the_promises_under_any_order()


def test_tables_keep_the_promises_under_any_order():
    runs = 0
    for seed in SEEDS:
        run = TableRun(seed)
        for _ in range(STEPS):
            run.step()
        runs += len(run.runs)
    assert runs > 1000
