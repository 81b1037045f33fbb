"""Soak runs with fixed seeds, and the checks of the soak's ledger."""

import pytest

from soak.ledger import Answer, Ledger
from soak.run import run_seed

# (seed, seconds in which faults start). Seeds that failed stay, with their cause.
SEEDS = (
    (7, 5.0),
    # New requests prolonged a graceful shutdown to 0.9 of the grace time, and under
    # load the exit of the process took the rest.
    (110, 10.0),
    # SIGTERM arrived during the start, before a handler for it was set.
    (7303, 10.0),
)


@pytest.mark.anyio
@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
async def test_guarantees_hold_under_faults(seed, seconds, tmp_path):
    outcome = await run_seed(seed, seconds, tmp_path)
    assert outcome.broken == []
    assert outcome.sends > 100 and outcome.faults


@pytest.mark.parametrize(
    ("answer", "runs", "text"),
    [
        (Answer("a", False, 200, True, 0.0), ["a", "a"], "ran 2 times"),
        (Answer("a", False, 503, True, 0.0), ["a"], "got 503 and ran"),
        (Answer("a", True, 200, False, 0.0), ["a"], "not its own"),
        (Answer("a", True, 200, True, 0.0), [], "never ran"),
        (Answer("a", True, 404, True, 0.0), [], "404"),
        (Answer("a", True, 200, True, 0.0), ["a", "b"], "no client sent it"),
    ],
)
def test_ledger_reports_each_broken_guarantee(answer, runs, text):
    ledger = Ledger()
    ledger.note(answer)
    assert any(text in line for line in ledger.get_broken(runs))


def test_ledger_accepts_permitted_outcomes():
    ledger = Ledger()
    ledger.note(Answer("a", True, 200, True, 0.0))
    ledger.note(Answer("b", False, 502, False, 0.0))
    ledger.note(Answer("c", False, None, False, 0.0))
    assert ledger.get_broken(["a", "a", "b", "c"]) == []
    assert ledger.get_share_served(0.0) == pytest.approx(1 / 3)
