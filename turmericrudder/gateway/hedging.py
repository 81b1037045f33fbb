"""Run a send of a request and, if it takes long, a second one beside it."""

import anyio

from .outcome import (
    CompleteResponse,
    ResponseFailure,
    StreamingResponse,
    is_final_response,
)

__all__ = ["run_hedged"]


async def run_hedged(first, delay, get_hedge):
    """Return the better outcome of at most two sends; the other is cancelled.

    :param first: coroutine function that sends and returns the outcome.
    :param delay: seconds after which a second send is asked for.
    :param get_hedge: returns a coroutine function like ``first``, or ``None``.
    """
    sender, receiver = anyio.create_memory_object_stream(2)
    outcomes, running = [], 1
    with sender, receiver:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_run, first, sender)
            with anyio.move_on_after(delay):
                outcomes.append(await receiver.receive())
            if not outcomes:
                second = get_hedge()
                if second is not None:
                    tasks.start_soon(_run, second, sender)
                    running += 1
            while len(outcomes) < running and not any(map(is_final_response, outcomes)):
                outcomes.append(await receiver.receive())
            tasks.cancel_scope.cancel()
        _drop_late(receiver)
    return max(outcomes, key=_get_rank)


async def _run(send, sender):
    sender.send_nowait(await send())


def _drop_late(receiver):
    """Close the connection of an answer that came together with the first."""
    try:
        late = receiver.receive_nowait()
    except anyio.WouldBlock:
        return
    if isinstance(late, StreamingResponse):
        late.connection.close()


def _get_rank(outcome):
    """Return how much an outcome tells, more for what a client can use."""
    if is_final_response(outcome):
        return 3
    match outcome:
        case CompleteResponse():
            return 2
        case ResponseFailure():
            return 1
    return 0
