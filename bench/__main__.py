"""The command line ``python -m bench demo|run|capacity|report``."""

import sys
import time
from pathlib import Path

import anyio
import msgspec
import typer

from .capacity import run_capacity
from .demo import run_demo
from .experiments import EXPERIMENTS
from .generator import Plan, generate
from .journal import JournalInvalid
from .lookup_load import LookupPlan, generate_lookups

app = typer.Typer(
    no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False
)

_UVLOOP = {"use_uvloop": True}


@app.callback()
def main() -> None:
    """Run experiments on real processes over loopback."""


@app.command()
def demo(workspace: str = "clearsight") -> None:
    """Run the demonstration; exit code 0 if all bounds were met, else 1."""
    is_met = anyio.run(run_demo, workspace, backend_options=_UVLOOP)
    sys.exit(0 if is_met else 1)


@app.command()
def run(
    names: list[str] = typer.Argument(None),
    seed: int = 1,
    json: Path = typer.Option(None, help="Write the measures to this file as JSON"),
) -> None:
    """Run experiments (all by default); exit code 1 if a bound was missed."""
    _run_all({name: EXPERIMENTS[name] for name in names or EXPERIMENTS}, seed, json)


@app.command()
def capacity(
    seed: int = 1,
    json: Path = typer.Option(None, help="Write the measures to this file as JSON"),
) -> None:
    """Measure control overhead at several cluster sizes and fit its slopes."""
    _run_all({"capacity": run_capacity}, seed, json)


@app.command()
def report(
    page: Path = typer.Argument(Path("build/report.html"), help="HTML page to write"),
    journal: Path = typer.Option(
        Path("journal"), help="Folder with the journal's JSON files"
    ),
) -> None:
    """Write an HTML page with the scores and losses of the journal's runs."""
    # Imported here because loading the plotting library takes longer than the
    # other commands take to run.
    from .report import write_report

    page.parent.mkdir(parents=True, exist_ok=True)
    try:
        count = write_report(journal, page)
    except JournalInvalid as exc:
        raise SystemExit(str(exc)) from exc
    typer.echo(f"{count} rounds written to {page}")


def _run_all(experiments, seed, json):
    documents, passed = [], True
    for name, experiment in experiments.items():
        began = time.monotonic()
        measures = anyio.run(experiment, seed, backend_options=_UVLOOP)
        for measure in measures:
            typer.echo(measure.format(seed))
            documents.append({"seed": seed, "passed": measure.is_passed()})
            documents[-1] |= msgspec.to_builtins(measure)
            passed = passed and measure.is_passed()
        typer.echo(f"# {name} took {time.monotonic() - began:.0f} s")
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(documents)))
    sys.exit(0 if passed else 1)


@app.command(hidden=True, name="generate")
def generate_load() -> None:
    """Read a plan as JSON from standard input, run it and print its samples."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    samples = anyio.run(generate, plan, backend_options=_UVLOOP)
    sys.stdout.buffer.write(msgspec.json.encode(samples))


@app.command(hidden=True, name="generate-lookups")
def generate_lookup_load() -> None:
    """Read a look-up plan as JSON from standard input; print its latencies."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=LookupPlan)
    times = anyio.run(generate_lookups, plan, backend_options=_UVLOOP)
    sys.stdout.buffer.write(msgspec.json.encode(times))


app()
