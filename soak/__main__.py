"""Run the soak: ``python -m soak [--seeds N] [--first SEED] [--seconds S]``."""

import logging
import secrets

import anyio
import typer

from .run import run_seed

FRESH_BITS = 32


def main(
    seeds: int = typer.Option(1, help="How many seeds to run"),
    first: int = typer.Option(None, help="First seed; a fresh one by default"),
    seconds: float = typer.Option(12.0, help="How long faults go on in each run"),
) -> None:
    """Run seeds one after the other and name the promises that were broken."""
    # Stand-ins that are cancelled at the end of a run would log tracebacks.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    start = secrets.randbits(FRESH_BITS) if first is None else first
    failed = []
    for seed in range(start, start + seeds):
        outcome = anyio.run(run_seed, seed, seconds)
        typer.echo(
            f"seed {seed}: {outcome.sends} sends, {len(outcome.faults)} faults, "
            f"served {outcome.served:.2f} after recovery, {len(outcome.broken)} broken"
        )
        for line in outcome.broken:
            typer.echo(f"  {line}")
        if outcome.broken:
            failed.append(seed)
    if failed:
        typer.echo(f"failed: {failed}")
        raise typer.Exit(1)


typer.run(main)
