"""One operation key between its home, its witness and whoever is asked.

The network is a set of messages that were ever sent: each may arrive never,
late, again, or in any order. Nothing depends on time, so a pause of any length
is a step that comes late. The state is small because one key, one epoch and
two incarnations of each side are enough for every race between them."""

from dataclasses import dataclass, replace
from enum import Enum, auto

from minicheck import Protocol, check_safety

__all__ = ["BREAKS", "Rules", "build_protocol", "check"]

MAX_STATES = 2_000_000


class Home(Enum):
    """The home's state of the key; ``GONE`` is a home that crashed."""

    NEW = auto()
    MARKING = auto()
    RUNNING = auto()
    RAN = auto()
    VOID = auto()
    UNKNOWN = auto()
    GONE = auto()


class Epoch(Enum):
    """The epoch at the witness."""

    ABSENT = auto()
    OPEN = auto()
    DROPPED = auto()


class Key(Enum):
    """The key at the witness."""

    NONE = auto()
    MARK = auto()
    OUTCOME = auto()
    VOID = auto()


class Sent(Enum):
    """Messages that are somewhere in the network."""

    OPEN = auto()
    OPENED = auto()
    MARK = auto()
    MARK_DONE = auto()
    MARK_REFUSED = auto()
    OUTCOME_RAN = auto()
    OUTCOME_NOT_RUN = auto()
    VOID = auto()


@dataclass(frozen=True, slots=True)
class Rules:
    """The load-bearing steps of the protocol; each can be switched off."""

    wait_for_mark: bool = True
    void_after_timeout: bool = True
    refuse_mark_of_void: bool = True
    witness_voids: bool = True
    dropped_epoch_refuses_void: bool = True
    dropped_epoch_stays_dropped: bool = True
    drop_whole_epochs_only: bool = True
    witness_nonce: bool = True
    home_nonce: bool = True
    never_resend_unknown: bool = True
    mark_hides_not_run: bool = True


BREAKS = tuple(Rules.__slots__)


@dataclass(frozen=True, slots=True)
class State:
    """The whole system; ``runs`` counts runs at upstreams."""

    home: Home = Home.NEW
    epoch: Epoch = Epoch.ABSENT
    key: Key = Key.NONE
    restarted: bool = False
    sent: frozenset = frozenset()
    runs: int = 0
    told_not_run: bool = False
    told_outcome: bool = False


class _Steps:
    """All steps that can follow a state."""

    def __init__(self, rules):
        self._rules = rules

    def iter_steps(self, state):
        """Yield (label, next state)."""
        yield from self._iter_home(state)
        yield from self._iter_witness(state)
        yield from self._iter_asked(state)
        yield from self._iter_crashes(state)

    def _iter_home(self, state):
        sent = state.sent
        if state.home is Home.NEW and Sent.OPEN not in sent:
            yield "home opens epoch", _send(state, Sent.OPEN)
        if state.home is Home.NEW and Sent.OPENED in sent:
            yield "home starts key", self._start(state)
        if state.home is Home.MARKING:
            yield from self._iter_marking(state)
        if state.home is Home.RUNNING:
            ran = replace(state, home=Home.RAN, told_outcome=True)
            yield "home gets answer", _send(ran, Sent.OUTCOME_RAN)
            yield "home loses answer", replace(state, home=Home.UNKNOWN)
        yield from self._iter_asked_again(state)

    def _start(self, state):
        if not self._rules.wait_for_mark:
            return _send(_run(state), Sent.MARK)
        return _send(replace(state, home=Home.MARKING), Sent.MARK)

    def _iter_marking(self, state):
        if Sent.MARK_DONE in state.sent:
            yield "home runs key", _run(state)
            yield "upstream sheds key", _void_at_home(state)
        if Sent.MARK_REFUSED in state.sent:
            yield "home learns of refusal", _void_at_home(state)
        if self._rules.void_after_timeout:
            yield "mark times out", _void_at_home(state)
        else:
            told = replace(state, home=Home.NEW, told_not_run=True)
            yield "mark times out, key stays new", told

    def _iter_asked_again(self, state):
        match state.home:
            case Home.RAN:
                yield "home replays outcome", replace(state, told_outcome=True)
            case Home.VOID:
                yield "home repeats not_run", replace(state, told_not_run=True)
            case Home.UNKNOWN if not self._rules.never_resend_unknown:
                yield "home runs unknown key again", _run(state)
            case Home.GONE if not self._rules.home_nonce:
                again = replace(state, home=Home.MARKING)
                yield "restarted home starts key", _send(again, Sent.MARK)

    def _iter_witness(self, state):
        sent = state.sent
        if Sent.OPEN in sent:
            yield from self._iter_open(state)
        if Sent.MARK in sent:
            yield "witness takes mark", self._mark(state)
        if state.epoch is Epoch.OPEN and state.key in (Key.NONE, Key.MARK):
            if Sent.OUTCOME_RAN in sent:
                yield "witness takes outcome", replace(state, key=Key.OUTCOME)
            if Sent.OUTCOME_NOT_RUN in sent:
                yield "witness takes not_run", replace(state, key=Key.VOID)
        if state.epoch is Epoch.OPEN:
            dropped = replace(state, epoch=Epoch.DROPPED, key=Key.NONE)
            yield "witness drops epoch", dropped
            if not self._rules.drop_whole_epochs_only:
                yield "witness forgets key", replace(state, key=Key.NONE)

    def _iter_open(self, state):
        can_open = state.epoch is Epoch.ABSENT
        if state.restarted and self._rules.witness_nonce:
            can_open = False
        if state.epoch is Epoch.DROPPED:
            can_open = not self._rules.dropped_epoch_stays_dropped
        if can_open:
            opened = replace(state, epoch=Epoch.OPEN, key=Key.NONE)
            yield "witness opens epoch", _send(opened, Sent.OPENED)

    def _mark(self, state):
        if state.epoch is not Epoch.OPEN:
            return _send(state, Sent.MARK_REFUSED)
        match state.key:
            case Key.NONE:
                return _send(replace(state, key=Key.MARK), Sent.MARK_DONE)
            case Key.MARK:
                return _send(state, Sent.MARK_DONE)
            case Key.VOID if not self._rules.refuse_mark_of_void:
                return _send(replace(state, key=Key.MARK), Sent.MARK_DONE)
        return _send(state, Sent.MARK_REFUSED)

    def _iter_asked(self, state):
        """An instance that cannot reach the home asks the witness."""
        if Sent.OPENED in state.sent:
            yield "asked instance sends void", _send(state, Sent.VOID)
        if Sent.VOID in state.sent:
            yield "witness answers void", self._void(state)

    def _void(self, state):
        if state.epoch is not Epoch.OPEN:
            told = not self._rules.dropped_epoch_refuses_void
            return replace(state, told_not_run=state.told_not_run or told)
        match state.key:
            case Key.NONE if self._rules.witness_voids:
                return replace(state, key=Key.VOID, told_not_run=True)
            case Key.NONE | Key.VOID:
                return replace(state, told_not_run=True)
            case Key.MARK if not self._rules.mark_hides_not_run:
                return replace(state, told_not_run=True)
            case Key.OUTCOME:
                return replace(state, told_outcome=True)
        return state

    def _iter_crashes(self, state):
        if state.home is not Home.GONE:
            yield "home crashes", replace(state, home=Home.GONE)
        if not state.restarted:
            yield (
                "witness restarts",
                replace(state, restarted=True, epoch=Epoch.ABSENT, key=Key.NONE),
            )


def build_protocol(rules):
    """Return the model of the protocol under the given rules."""
    steps = _Steps(rules)
    return Protocol(
        name="operation",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=lambda state: [
            (label, (after,)) for label, after in steps.iter_steps(state[0])
        ],
        invariants={
            "runs at most once": lambda f: f["state"].runs <= 1,
            "not_run is true for ever": lambda f: (
                not (f["state"].told_not_run and f["state"].runs)
            ),
            "an outcome told is of a run": lambda f: (
                not f["state"].told_outcome or f["state"].runs == 1
            ),
        },
    )


def check(rules):
    """Explore all states; return (number of states, {property: trace or None}).

    A trace is the list of steps that leads to the violation, shortest first.
    """
    result = check_safety(build_protocol(rules), max_states=MAX_STATES)
    traces = {}
    for name, verdict in result["properties"].items():
        trace = None
        if not verdict["holds"]:
            trace = [step["label"] for step in verdict["counterexample"][1:]]
        traces[name] = trace
    return result["reachable_states"], traces


def _send(state, message):
    return replace(state, sent=state.sent | {message})


def _run(state):
    # Two runs are a violation already; more need not be told apart.
    return replace(state, home=Home.RUNNING, runs=min(2, state.runs + 1))


def _void_at_home(state):
    told = replace(state, home=Home.VOID, told_not_run=True)
    return _send(told, Sent.OUTCOME_NOT_RUN)
