"""A model of the operation protocol, checked in every reachable state.

The model has one operation key, its home, its witness, and an instance that asks the
witness how the key ended because it cannot reach the home. The network is the set of
all messages ever sent: each may be lost, late, repeated or out of order. Nothing
depends on time, so a pause of any length is a late step. One key, one epoch and two
incarnations of home and witness are enough for every race between them.
"""

from dataclasses import dataclass, replace
from enum import Enum, auto

from minicheck import Protocol, check_safety

__all__ = ["RULE_NAMES", "Rules", "build_protocol", "check"]

MAX_STATES = 2_000_000


class HomeState(Enum):
    """The state of the key at its home, or ``CRASHED`` if the home has crashed."""

    NEW = auto()
    MARKING = auto()
    RUNNING = auto()
    RAN = auto()
    VOID = auto()
    UNKNOWN = auto()
    CRASHED = auto()


class EpochState(Enum):
    """The state of the key's epoch at the witness."""

    ABSENT = auto()
    OPEN = auto()
    DROPPED = auto()


class KeyState(Enum):
    """The state of the key at the witness."""

    NONE = auto()
    MARKED = auto()
    OUTCOME = auto()
    VOID = auto()


class Message(Enum):
    """The messages between home, witness and the instance that asks the witness."""

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
    """The rules on which the safety of the protocol depends.

    Each of them can be left out of the model. The check must then find a violation.

    :param wait_for_mark: the home runs a key only after the witness has marked it.
    :param void_after_timeout: the home voids a key if the mark times out.
    :param refuse_mark_of_void: the witness does not mark a void key.
    :param witness_voids: the witness voids an unmarked key when asked how it ended.
    :param dropped_epoch_refuses_void: the witness reports nothing on a key whose epoch
        it does not have.
    :param dropped_epoch_stays_dropped: the witness does not open an epoch again that
        it has removed.
    :param drop_whole_epochs_only: the witness does not remove single keys.
    :param witness_nonce: a restarted witness does not open an epoch that named its
        previous incarnation.
    :param home_nonce: a restarted home does not start keys of its previous
        incarnation.
    :param never_resend_unknown: the home does not run a key again whose outcome is
        unknown.
    :param mark_hides_not_run: the witness does not report a marked key as not run.
    """

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


RULE_NAMES = tuple(Rules.__slots__)


@dataclass(frozen=True, slots=True)
class State:
    """The state of the whole system.

    :param sent: all messages ever sent.
    :param runs: how often an upstream has run the key, 2 for any greater number.
    :param has_reported_not_run: whether a caller was told that the key did not run.
    :param has_reported_outcome: whether a caller was told the outcome of a run.
    """

    home: HomeState = HomeState.NEW
    epoch: EpochState = EpochState.ABSENT
    key: KeyState = KeyState.NONE
    has_witness_restarted: bool = False
    sent: frozenset = frozenset()
    runs: int = 0
    has_reported_not_run: bool = False
    has_reported_outcome: bool = False


class _Transitions:
    """The transitions of the model under the given rules."""

    def __init__(self, rules):
        self._rules = rules

    def iter_transitions(self, state):
        """Yield (label, next state) for each step that is possible in a state."""
        yield from self._iter_home(state)
        yield from self._iter_witness(state)
        yield from self._iter_resolution(state)
        yield from self._iter_crash(state)

    def _iter_home(self, state):
        sent = state.sent
        if state.home is HomeState.NEW and Message.OPEN not in sent:
            yield "home opens epoch", _send(state, Message.OPEN)
        if state.home is HomeState.NEW and Message.OPENED in sent:
            yield "home starts key", self._start_key(state)
        if state.home is HomeState.MARKING:
            yield from self._iter_marking(state)
        if state.home is HomeState.RUNNING:
            ran = replace(state, home=HomeState.RAN, has_reported_outcome=True)
            yield "home receives response", _send(ran, Message.OUTCOME_RAN)
            yield "home loses response", replace(state, home=HomeState.UNKNOWN)
        yield from self._iter_repeated_request(state)

    def _start_key(self, state):
        if not self._rules.wait_for_mark:
            return _send(_run_key(state), Message.MARK)
        return _send(replace(state, home=HomeState.MARKING), Message.MARK)

    def _iter_marking(self, state):
        if Message.MARK_DONE in state.sent:
            yield "home runs key", _run_key(state)
            yield "upstream sheds key", _void_at_home(state)
        if Message.MARK_REFUSED in state.sent:
            yield "home receives refusal", _void_at_home(state)
        if self._rules.void_after_timeout:
            yield "mark times out", _void_at_home(state)
        else:
            after = replace(state, home=HomeState.NEW, has_reported_not_run=True)
            yield "mark times out, key stays new", after

    def _iter_repeated_request(self, state):
        """Yield the steps after a caller sends the request again with the same key."""
        match state.home:
            case HomeState.RAN:
                yield "home replays outcome", replace(state, has_reported_outcome=True)
            case HomeState.VOID:
                yield "home repeats not_run", replace(state, has_reported_not_run=True)
            case HomeState.UNKNOWN if not self._rules.never_resend_unknown:
                yield "home runs unknown key again", _run_key(state)
            case HomeState.CRASHED if not self._rules.home_nonce:
                marking = replace(state, home=HomeState.MARKING)
                yield "restarted home starts key", _send(marking, Message.MARK)

    def _iter_witness(self, state):
        sent = state.sent
        if Message.OPEN in sent:
            yield from self._iter_open(state)
        if Message.MARK in sent:
            yield "witness receives mark", self._handle_mark(state)
        if state.epoch is EpochState.OPEN and state.key in (
            KeyState.NONE,
            KeyState.MARKED,
        ):
            if Message.OUTCOME_RAN in sent:
                yield "witness receives outcome", replace(state, key=KeyState.OUTCOME)
            if Message.OUTCOME_NOT_RUN in sent:
                yield "witness receives not_run", replace(state, key=KeyState.VOID)
        if state.epoch is EpochState.OPEN:
            dropped = replace(state, epoch=EpochState.DROPPED, key=KeyState.NONE)
            yield "witness drops epoch", dropped
            if not self._rules.drop_whole_epochs_only:
                yield "witness removes key", replace(state, key=KeyState.NONE)

    def _iter_open(self, state):
        can_open = state.epoch is EpochState.ABSENT
        if state.has_witness_restarted and self._rules.witness_nonce:
            can_open = False
        if state.epoch is EpochState.DROPPED:
            can_open = not self._rules.dropped_epoch_stays_dropped
        if can_open:
            opened = replace(state, epoch=EpochState.OPEN, key=KeyState.NONE)
            yield "witness opens epoch", _send(opened, Message.OPENED)

    def _handle_mark(self, state):
        if state.epoch is not EpochState.OPEN:
            return _send(state, Message.MARK_REFUSED)
        match state.key:
            case KeyState.NONE:
                return _send(replace(state, key=KeyState.MARKED), Message.MARK_DONE)
            case KeyState.MARKED:
                return _send(state, Message.MARK_DONE)
            case KeyState.VOID if not self._rules.refuse_mark_of_void:
                return _send(replace(state, key=KeyState.MARKED), Message.MARK_DONE)
        return _send(state, Message.MARK_REFUSED)

    def _iter_resolution(self, state):
        """Yield the steps in which another instance asks the witness for the key."""
        if Message.OPENED in state.sent:
            yield "other instance sends void", _send(state, Message.VOID)
        if Message.VOID in state.sent:
            yield "witness replies to void", self._handle_void(state)

    def _handle_void(self, state):
        if state.epoch is not EpochState.OPEN:
            reports = not self._rules.dropped_epoch_refuses_void
            return replace(
                state, has_reported_not_run=state.has_reported_not_run or reports
            )
        match state.key:
            case KeyState.NONE if self._rules.witness_voids:
                return replace(state, key=KeyState.VOID, has_reported_not_run=True)
            case KeyState.NONE | KeyState.VOID:
                return replace(state, has_reported_not_run=True)
            case KeyState.MARKED if not self._rules.mark_hides_not_run:
                return replace(state, has_reported_not_run=True)
            case KeyState.OUTCOME:
                return replace(state, has_reported_outcome=True)
        return state

    def _iter_crash(self, state):
        if state.home is not HomeState.CRASHED:
            yield "home crashes", replace(state, home=HomeState.CRASHED)
        if not state.has_witness_restarted:
            yield (
                "witness restarts",
                replace(
                    state,
                    has_witness_restarted=True,
                    epoch=EpochState.ABSENT,
                    key=KeyState.NONE,
                ),
            )


def build_protocol(rules):
    """Return the model of the protocol under the given :class:`Rules`."""
    steps = _Transitions(rules)
    return Protocol(
        name="operation",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=lambda state: [
            (label, (after,)) for label, after in steps.iter_transitions(state[0])
        ],
        invariants={
            "runs at most once": lambda f: f["state"].runs <= 1,
            "a report of not_run stays true": lambda f: (
                not (f["state"].has_reported_not_run and f["state"].runs)
            ),
            "a reported outcome is of a run": lambda f: (
                not f["state"].has_reported_outcome or f["state"].runs == 1
            ),
        },
    )


def check(rules):
    """Check the properties of the protocol in all reachable states.

    :returns: (number of states, {property: trace}). A trace is the shortest list
        of step labels that leads to a violation of the property, ``None`` if it holds.
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


def _run_key(state):
    # Two runs already violate the protocol; more need no states of their own.
    return replace(state, home=HomeState.RUNNING, runs=min(2, state.runs + 1))


def _void_at_home(state):
    voided = replace(state, home=HomeState.VOID, has_reported_not_run=True)
    return _send(voided, Message.OUTCOME_NOT_RUN)
