"""Supervision of the tasks that run for as long as an instance does."""

import anyio

from .events import catalogue

__all__ = ["run_supervised"]

RESTART_DELAY = 1.0  # seconds from an unexpected error of a task to its restart


async def run_supervised(task, log):
    """Run a task until it returns; after an unexpected error, log it and run it again.

    Without it, the error of one task would end the process and the requests of all
    clients with it.

    :param task: coroutine function without arguments that can be called again.
    :param log: an :class:`~turmericrudder.events.EventLog`.
    """
    while True:
        try:
            return await task()
        except Exception as exc:
            log.write(
                catalogue.TASK_FAILED,
                task=task.__qualname__,
                error=", ".join(_describe_errors(exc)),
            )
            await anyio.sleep(RESTART_DELAY)


def _describe_errors(error):
    """Yield each error of a group with the place where it was raised."""
    if isinstance(error, ExceptionGroup):
        for member in error.exceptions:
            yield from _describe_errors(member)
        return
    traceback = error.__traceback__
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    code = traceback.tb_frame.f_code
    yield f"{error!r} in {code.co_qualname}, line {traceback.tb_lineno}"
