"""Concurrent execution of an attempt and a delayed hedge."""

import contextlib

import anyio

from .outcome import (
    CompleteResponse,
    ResponseFailure,
    StreamingResponse,
    is_final_response,
)

__all__ = ["run_hedged"]


async def run_hedged(first, delay, get_hedge):
    """Run an attempt and, if it is slow, a hedge; return the better outcome.

    The first final response ends the call, and the other attempt is cancelled.

    :param first: coroutine function that runs the first attempt and returns its
        outcome.
    :param delay: seconds after which ``get_hedge`` is called.
    :param get_hedge: returns a coroutine function like ``first``, or ``None`` if there
        is to be no hedge.
    """
    sender, receiver = anyio.create_memory_object_stream(2)
    outcomes, attempt_count = [], 1
    with sender, receiver:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_outcome, first, sender)
                with anyio.move_on_after(delay):
                    outcomes.append(await receiver.receive())
                if not outcomes:
                    # A busy process may find a response together with the end.
                    await anyio.lowlevel.checkpoint()
                    with contextlib.suppress(anyio.WouldBlock):
                        outcomes.append(receiver.receive_nowait())
                if not outcomes:
                    hedge = get_hedge()
                    if hedge is not None:
                        tasks.start_soon(_send_outcome, hedge, sender)
                        attempt_count += 1
                while len(outcomes) < attempt_count and not any(
                    map(is_final_response, outcomes)
                ):
                    outcomes.append(await receiver.receive())
                tasks.cancel_scope.cancel()
        except BaseException:
            # A response may have arrived together with the cancellation.
            _close_streams(outcomes)
            raise
        finally:
            _close_streams(_get_late_outcomes(receiver))
    return max(outcomes, key=_get_preference)


async def _send_outcome(run_attempt, sender):
    sender.send_nowait(await run_attempt())


def _get_late_outcomes(receiver):
    """Return the outcomes that arrived together with the final one."""
    late_outcomes = []
    with contextlib.suppress(anyio.WouldBlock):
        while True:
            late_outcomes.append(receiver.receive_nowait())
    return late_outcomes


def _close_streams(outcomes):
    for outcome in outcomes:
        if isinstance(outcome, StreamingResponse):
            outcome.connection.close()


def _get_preference(outcome):
    """Return the preference of an outcome; higher is more useful to the client."""
    if is_final_response(outcome):
        return 3
    match outcome:
        case CompleteResponse():
            return 2
        case ResponseFailure():
            return 1
    return 0
