"""``python -m bench demo|run|capacity``."""

import sys

import anyio
import typer

from .demo import run_demo

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def main() -> None:
    """Experiments on real processes over loopback."""


@app.command()
def demo(workspace: str = "clearsight") -> None:
    """Show the main job; exit code 0 only if everything held."""
    held = anyio.run(run_demo, workspace, backend_options={"use_uvloop": True})
    sys.exit(0 if held else 1)


app()
