"""Run an awaitable that is cancelled when a condition occurs first."""

import anyio

from .errors import SteeringError

__all__ = ["RequestCancelled", "run_cancellable"]


class RequestCancelled(SteeringError):
    """A request was cancelled, for example because the client disconnected."""


async def run_cancellable(wait_cancelled, awaitable):
    """Return the result of ``awaitable``; cancel it once ``wait_cancelled`` returns.

    :param wait_cancelled: async function without arguments.
    :param awaitable: the operation; its errors are raised unchanged.
    :raises RequestCancelled: if ``wait_cancelled`` returned first.
    """
    # Errors are raised outside the task group, which would wrap them.
    error = RequestCancelled("operation cancelled before it had a result")
    result = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_after, wait_cancelled, tasks.cancel_scope)
        try:
            result = await awaitable
            error = None
        except Exception as exc:
            error = exc
        tasks.cancel_scope.cancel()
    if error is not None:
        raise error
    return result


async def _cancel_after(wait_cancelled, scope):
    await wait_cancelled()
    scope.cancel()
