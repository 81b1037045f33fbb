"""Run the soak: ``python -m soak [--seeds N] [--first SEED] [--seconds S]``."""

import logging
import secrets
import signal

import anyio
import typer

from .run import run_seed

SEED_BITS = 32  # of a random first seed


def main(
    seeds: int = typer.Option(1, help="How many seeds to run"),
    first: int = typer.Option(None, help="First seed; random by default"),
    seconds: float = typer.Option(
        12.0, help="Seconds during which each run injects faults"
    ),
) -> None:
    """Run consecutive seeds one after the other and print the violations found."""
    # Raises KeyboardInterrupt, so that the run closes its environment.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    # uvicorn would log a traceback for each stand-in cancelled at the end of a run.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    first_seed = secrets.randbits(SEED_BITS) if first is None else first
    failed_seeds = []
    for seed in range(first_seed, first_seed + seeds):
        result = anyio.run(run_seed, seed, seconds)
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


typer.run(main)
