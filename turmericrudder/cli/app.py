"""The typer application and its entry point."""

import sys

import anyio
import typer

from ..errors import SteeringError
from ..settings import read_entry_settings
from . import config, operate
from .exits import get_exit_code

__all__ = ["app", "main"]

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.add_typer(config.app, name="config")
operate.register(app)


@app.command()
def entry(settings: str = typer.Option(..., help="INI file of the instance")) -> None:
    """Run an entry instance until SIGTERM."""
    # The daemon is imported here, so that the other commands start fast.
    from ..daemon import run_entry

    loaded = read_entry_settings(settings)
    anyio.run(run_entry, loaded, backend_options={"use_uvloop": True})


def main():
    """Run the command line; errors of the package become one line and a code."""
    try:
        app()
    except SteeringError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(get_exit_code(exc))
