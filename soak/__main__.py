"""Run the soak: ``python -m soak [--seeds N] [--first SEED] [--seconds S]``."""

import logging
import secrets
import signal

import anyio
import typer

from .run import run_seed

SEED_BITS = 32  # of a random first seed
ENDED_STATUS = 130  # exit status after a signal


def main(
    seeds: int = typer.Option(1, help="How many seeds to run"),
    first: int = typer.Option(None, help="First seed; random by default"),
    seconds: float = typer.Option(
        12.0, help="Seconds during which each run injects faults"
    ),
) -> None:
    """Run consecutive seeds one after the other and print the violations found."""
    # uvicorn would log a traceback for each stand-in cancelled at the end of a run.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    first_seed = secrets.randbits(SEED_BITS) if first is None else first
    failed_seeds = []
    for seed in range(first_seed, first_seed + seeds):
        result = anyio.run(_run_until_signal, seed, seconds)
        if result is None:
            raise typer.Exit(ENDED_STATUS)
        typer.echo(
            f"seed {seed}: {result.request_count} requests, "
            f"{len(result.faults)} faults, "
            f"success rate {result.success_rate:.2f} after recovery, "
            f"{len(result.violations)} violations"
        )
        for line in result.violations:
            typer.echo(f"  {line}")
        if result.violations:
            failed_seeds.append(seed)
    if failed_seeds:
        typer.echo(f"seeds with violations: {failed_seeds}")
        raise typer.Exit(1)


async def _run_until_signal(seed, seconds):
    """Return the result of a seed, ``None`` if a signal ended the run.

    An exception that a signal handler raises would be lost where a stand-in handles
    all exceptions of a request.
    """
    result = None
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, signals, tasks.cancel_scope)
            result = await run_seed(seed, seconds)
            tasks.cancel_scope.cancel()
    return result


async def _cancel_on_signal(signals, scope):
    async for _ in signals:
        scope.cancel()


typer.run(main)
