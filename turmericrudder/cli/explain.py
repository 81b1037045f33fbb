"""The ``explain`` command: what log files hold about one request."""

import sys
from pathlib import Path

import msgspec
import typer

from ..events import RequestTrace, read_log

__all__ = ["explain"]

NOT_FOUND_CODE = 1  # exit code if no log line has the request id


def explain(
    request_id: str = typer.Argument(
        ..., help="Value of the request's X-Attempt-Id header"
    ),
    files: list[Path] = typer.Argument(
        ..., help="Log files of entry instances", exists=True, dir_okay=False
    ),
    as_json: bool = typer.Option(False, "--json", help="Print JSON, for programs"),
) -> None:
    """Show what happened to one request, and events that may have affected it."""
    trace = RequestTrace(request_id, read_log(files))
    if as_json:
        document = {
            "conclusion": trace.get_conclusion(),
            "lines": trace.lines,
            "news": trace.related_events,
        }
        typer.echo(msgspec.json.encode(document).decode())
    else:
        for line in _format(trace):
            typer.echo(line)
    if not trace.lines:
        sys.exit(NOT_FOUND_CODE)


def _format(trace):
    if trace.lines:
        start = trace.lines[0].time
        if trace.related_events:
            yield "events that may have affected the request:"
        for line in trace.related_events:
            yield _format_line(line, start)
        yield "the request:"
        for line in trace.lines:
            yield _format_line(line, start)
    yield trace.get_conclusion()


def _format_line(line, start):
    fields = " ".join(
        f"{key}={value}" for key, value in line.fields.items() if value is not None
    )
    return f"  {line.time - start:+9.3f} s  {line.instance:<24}{line.name:<20}{fields}"
