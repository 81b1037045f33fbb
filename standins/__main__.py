"""Command line that runs a stand-in: ``python -m standins store|upstream …``."""

import anyio
import typer

from .asgi import serve
from .store import StoreApplication
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


app()
