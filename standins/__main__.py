"""Command line that runs a stand-in: ``python -m standins store|upstream|target …``."""

import anyio
import typer

from .asgi import serve
from .body import BodyFault, BodyFaultKind, Framing
from .store import StoreApplication
from .target import TargetApplication
from .upstream import read_upstreams

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.command()
def store(listen: str, lag: float = 1.0) -> None:
    """Serve the platform's metadata store and its list of instances."""
    anyio.run(serve, [(StoreApplication(lag), listen)])


@app.command()
def upstream(profile: str) -> None:
    """Serve the upstream targets that an INI profile describes."""
    anyio.run(serve, read_upstreams(profile))


@app.command()
def target(
    listen: str,
    name: str = "t0",
    seed: int = 0,
    size: int = typer.Option(0, help="Bytes of each body, 0 for a short one"),
    framing: Framing = Framing.LENGTH,
    fault: BodyFaultKind = typer.Option(None, help="Fault within bodies"),
    min_size: int = typer.Option(0, help="Bytes of the shortest body with the fault"),
    share: float = typer.Option(1.0, help="Share of these bodies that have it"),
    count: int = typer.Option(None, help="Number of bodies that have it"),
    pause: float = typer.Option(0.2, help="Seconds of its pauses"),
) -> None:
    """Serve a target of the platform."""
    application = TargetApplication(name, seed=seed)
    application.body_fault = BodyFault(
        fault, min_size, share, count, pause, size, framing
    )
    anyio.run(serve, [(application, listen)])


app()
