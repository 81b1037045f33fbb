"""The typer application and its entry point."""

import os
import sys

import typer

from ..errors import SteeringError
from ..settings import read_entry_settings
from . import commands, config, platform
from .exit_codes import get_exit_code
from .explain import explain

__all__ = ["app", "main"]

MAX_MALLOC_ARENAS = "1"  # glibc keeps one for each thread by default

app = typer.Typer(
    no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False
)
app.add_typer(config.app, name="config")
app.add_typer(platform.app, name="platform")
app.command()(explain)
commands.register(app)


@app.command()
def entry(settings: str = typer.Option(..., help="INI file of the instance")) -> None:
    """Run an entry instance until SIGTERM."""
    read_entry_settings(settings)
    # The daemon replaces this process's program, since modules that only the command
    # line needs would stay in its memory.
    os.environ.setdefault("MALLOC_ARENA_MAX", MAX_MALLOC_ARENAS)
    command = [sys.executable, "-m", "turmericrudder.daemon", settings]
    os.execv(sys.executable, command)


def main():
    """Run the command line.

    An error of the package is printed on standard error as one line, and its
    class decides the exit code.
    """
    try:
        app()
    except SteeringError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(get_exit_code(exc))
