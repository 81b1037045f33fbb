"""Run a coroutine until it ends or something interrupts it."""

import anyio

from .errors import TurmericrudderError

__all__ = ["RequestCancelled", "run_cancellable"]


class RequestCancelled(TurmericrudderError):
    """The work was cancelled because the watch ended first."""


async def run_cancellable(watch, work):
    """Return the result of ``work``, cancelled once ``watch`` ends.

    :param watch: async function without arguments.
    :param work: awaitable; its errors are raised as they are.
    :raises RequestCancelled: if the watch ended first.
    """
    # An error is raised outside the group, which would wrap it.
    error = RequestCancelled("cancelled")
    result = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_after, watch, tasks.cancel_scope)
        try:
            result = await work
            error = None
        except Exception as exc:
            error = exc
        tasks.cancel_scope.cancel()
    if error is not None:
        raise error
    return result


async def _cancel_after(watch, scope):
    await watch()
    scope.cancel()
