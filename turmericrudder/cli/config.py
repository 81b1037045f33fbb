"""The ``config`` commands: check, compare, apply and list configurations."""

import difflib
import time

import typer

from ..configuration import compile_source, read_source
from ..errors import ConfigurationMissing
from .exit_codes import ExitCode
from .rollout import wait_in_force
from .session import OPERATOR_OPTION, run_with_session

__all__ = ["app", "report_accepted"]

app = typer.Typer(no_args_is_help=True, help="Check, apply and show configurations.")

_WAIT = typer.Option(
    False, "--wait", help="Wait until all live instances have the revision in force"
)
_WAIT_LIMIT = typer.Option(10.0, help="Longest time to wait, in seconds")
_NOTE = typer.Option("", help="Reason for the change, shown in the history")


@app.command()
def check(directory: str) -> None:
    """Compile the INI files of a directory without accessing the store."""
    configuration = compile_source(read_source(directory))
    typer.echo(
        f"ok: {configuration.workspace}, {len(configuration.services)} services, "
        f"{len(configuration.targets)} targets, "
        f"{configuration.block_table.block_count} blocks"
    )


@app.command()
def plan(directory: str, operator: str = OPERATOR_OPTION) -> None:
    """Show what applying the INI files of a directory would change."""
    source = read_source(directory)
    compile_source(source)
    revision, current = run_with_session(operator, _get_current)
    typer.echo(f"compared with revision {revision}")
    for line in _iter_changes(current, source):
        typer.echo(line)


@app.command()
def apply(
    directory: str,
    operator: str = OPERATOR_OPTION,
    note: str = _NOTE,
    expect: int = typer.Option(None, help="Fail unless this is the accepted revision"),
    wait: bool = _WAIT,
    wait_limit: float = _WAIT_LIMIT,
) -> None:
    """Make the INI files of a directory the accepted revision."""
    source = read_source(directory)
    manifest = run_with_session(operator, _accept, source, note, expect)
    report_accepted(operator, manifest, wait, wait_limit)


@app.command()
def show(operator: str = OPERATOR_OPTION, file: str = "parameters") -> None:
    """Print the accepted templates, parameters, blocks or drained names (--file)."""
    revision, source = run_with_session(operator, _get_current)
    if source is None:
        raise ConfigurationMissing("no revision is accepted")
    typer.echo(f"# revision {revision}")
    match file:
        case "templates":
            typer.echo(source.templates)
        case "parameters":
            typer.echo(source.parameters)
        case "drained":
            typer.echo("\n".join(source.drained))
        case "blocks":
            for start, length, locality in source.blocks:
                typer.echo(f"{_format_block(start, length)} = {locality}")
        case _:
            raise typer.BadParameter("must be templates, parameters, blocks or drained")


@app.command()
def history(operator: str = OPERATOR_OPTION, limit: int = 20) -> None:
    """List accepted revisions, newest first."""
    for manifest in run_with_session(operator, _get_history, limit):
        stamp = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(manifest.time))
        typer.echo(f"{manifest.revision}\t{stamp}\t{manifest.author}\t{manifest.note}")


@app.command()
def rollback(
    revision: int,
    operator: str = OPERATOR_OPTION,
    wait: bool = _WAIT,
    wait_limit: float = _WAIT_LIMIT,
) -> None:
    """Accept the content of an older revision as a new revision."""
    manifest = run_with_session(operator, _roll_back, revision)
    report_accepted(operator, manifest, wait, wait_limit)


def report_accepted(operator, manifest, wait, wait_limit):
    """Print an accepted revision; with ``wait``, wait until it is in force everywhere.

    :param wait_limit: seconds to wait at most.
    :raises typer.Exit: if instances are still behind after ``wait_limit``.
    """
    typer.echo(f"accepted revision {manifest.revision}")
    if not wait:
        return
    behind, seconds = run_with_session(operator, wait_in_force, manifest, wait_limit)
    if behind:
        typer.echo(f"not in force after {seconds:.1f} s at: {', '.join(behind)}")
        raise typer.Exit(ExitCode.NOT_IN_FORCE)
    typer.echo(f"in force everywhere after {seconds:.1f} s")


async def _get_current(session):
    """Return (accepted revision, its source), (0, ``None``) without a revision."""
    try:
        manifest, source = await session.repository.get_current()
    except ConfigurationMissing:
        return 0, None
    return manifest.revision, source


async def _accept(session, source, note, expect):
    # The INI files do not hold drained names; those stay drained until undrained.
    revision, current = await _get_current(session)
    if current is not None:
        for name in current.drained:
            source = source.drain(name)
    if expect is None:
        expect = revision
    return await session.repository.accept(
        source, session.settings.author, note, expect
    )


async def _get_history(session, limit):
    manifests = []
    async for manifest in session.repository.iter_history():
        manifests.append(manifest)
        if len(manifests) == limit:
            break
    return manifests


async def _roll_back(session, revision):
    latest = None
    async for manifest in session.repository.iter_history():
        latest = latest or manifest.revision
        if manifest.revision == revision:
            source = await session.repository.get_source(manifest)
            return await session.repository.accept(
                source, session.settings.author, f"rollback to {revision}", latest
            )
    raise ConfigurationMissing(f"no revision {revision} in the history")


def _iter_changes(before, after):
    """Yield lines of a diff between two sources; ``before`` may be ``None``."""
    for name in ("templates", "parameters"):
        old = getattr(before, name).splitlines() if before else []
        new = getattr(after, name).splitlines()
        yield from difflib.unified_diff(old, new, name, name, lineterm="", n=1)
    old_blocks = set(before.blocks) if before else set()
    new_blocks = set(after.blocks)
    yield f"blocks: {len(new_blocks - old_blocks)} new or changed, "
    yield f"        {len(old_blocks - new_blocks)} removed or changed"


def _format_block(start, length):
    octets = ".".join(str(start >> shift & 255) for shift in (24, 16, 8, 0))
    return f"{octets}/{length}"
