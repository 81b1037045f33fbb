"""Short soak runs, among them each seed that ever failed, and the soak's checks."""

import os
import signal
import subprocess
import sys

import anyio
import pytest

from soak.environment import HOST, Environment, handles_signal
from soak.history import History, RequestResult
from soak.run import FIRST_PORT, PORTS_PER_SEED, START_TIMEOUT, run_seed

# (seed, seconds in which faults start). Seeds that failed once stay here; the comment
# above each says why it failed.
SEEDS = (
    (7, 5.0),
    # Clients that kept sending requests prolonged a graceful shutdown to 0.9 of the
    # grace time; under load, the exit of the process took the rest.
    (110, 10.0),
    # SIGTERM arrived during start-up, before a handler was installed.
    (7303, 10.0),
    # The store lost a watch in a silent outage; a later configuration came late.
    (536, 12.0),
    # SIGTERM arrived before the interpreter of the gateway ran.
    (23241, 12.0),
)


@pytest.mark.anyio
@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
async def test_guarantees_hold_under_faults(seed, seconds, tmp_path):
    result = await run_seed(seed, seconds, tmp_path)
    assert result.violations == []
    assert result.request_count > 100 and result.faults


@pytest.mark.anyio
async def test_soak_that_is_ended_leaves_no_gateway(tmp_path):
    seed = 12
    environment = Environment(FIRST_PORT + PORTS_PER_SEED * seed, tmp_path)
    port = environment.get_client_port(0)
    soak = subprocess.Popen(
        [sys.executable, "-m", "soak", "--first", str(seed)], stderr=subprocess.DEVNULL
    )
    try:
        with anyio.fail_after(2 * START_TIMEOUT):
            while not await is_open(port):
                await anyio.sleep(0.05)
    finally:
        soak.terminate()
    with anyio.fail_after(10.0):
        while soak.poll() is None:
            await anyio.sleep(0.05)
    assert not await is_open(port)


def test_handled_signals_of_a_process_are_known():
    # A shell starts commands in the background with SIGINT ignored.
    handler = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        assert handles_signal(os.getpid(), signal.SIGINT)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        assert not handles_signal(os.getpid(), signal.SIGINT)
    finally:
        signal.signal(signal.SIGINT, handler)
    assert not handles_signal(os.getpid(), signal.SIGUSR2)


async def is_open(port):
    """Return whether a process listens on a port of the soak's host."""
    try:
        stream = await anyio.connect_tcp(HOST, port)
    except OSError:
        return False
    await stream.aclose()
    return True


@pytest.mark.parametrize(
    ("result", "runs", "text"),
    [
        (RequestResult("a", False, 200, True, 0.0), ["a", "a"], "ran 2 times"),
        (RequestResult("a", False, 503, True, 0.0), ["a"], "got 503 and ran"),
        (RequestResult("a", True, 200, False, 0.0), ["a"], "not its own"),
        (
            RequestResult("a", True, 200, True, 0.0, "9 bytes"),
            ["a"],
            "not the target's",
        ),
        (
            RequestResult("a", True, 500, True, 0.0, "9 bytes"),
            ["a"],
            "not the target's",
        ),
        (RequestResult("a", True, 200, True, 0.0), [], "never ran"),
        (RequestResult("a", True, 404, True, 0.0), [], "404"),
        (RequestResult("a", True, 200, True, 0.0), ["a", "b"], "no client sent it"),
    ],
)
def test_history_finds_each_violation(result, runs, text):
    history = History()
    history.record(result)
    assert any(text in line for line in history.find_violations(runs))


def test_history_accepts_results_without_violation():
    history = History()
    history.record(RequestResult("a", True, 200, True, 0.0))
    history.record(RequestResult("b", False, 502, False, 0.0))
    history.record(RequestResult("c", False, None, False, 0.0))
    history.record(RequestResult("d", True, None, False, 0.0, has_left=True))
    assert history.find_violations(["a", "a", "b", "c"]) == []
    assert history.get_success_rate(0.0) == pytest.approx(1 / 3)
