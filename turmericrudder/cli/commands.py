"""Commands that look at and steer a running system."""

import anyio
import httpcore
import msgspec
import typer

from ..configuration import compile_source
from ..errors import ConfigurationMissing, PeerUnreachable
from .config import report_accepted
from .session import OPERATOR_OPTION, run_with_session

__all__ = ["register"]

_WAIT = typer.Option(False, "--wait", help="Return when it is in force everywhere")
_WAIT_LIMIT = typer.Option(10.0, help="Seconds to wait at most")
_JSON = typer.Option(False, "--json", help="Print JSON instead of a table")


def register(app):
    """Add the commands to a typer application."""
    for command in (status, lookup, drain, undrain):
        app.command()(command)


def status(operator: str = OPERATOR_OPTION, as_json: bool = _JSON) -> None:
    """Show instances, revisions, slots and caps."""
    found, silent = run_with_session(operator, _get_statuses)
    if as_json:
        document = {"instances": found, "silent": sorted(silent)}
        typer.echo(msgspec.json.encode(document).decode())
        return
    for line in _format_instances(found, silent):
        typer.echo(line)
    for line in _format_targets(found):
        typer.echo(line)


def lookup(service: str, client: str, entry: str) -> None:
    """Ask an entry instance (callers' address) which entries to use."""
    typer.echo(anyio.run(_look_up, service, client, entry))


def drain(
    name: str,
    operator: str = OPERATOR_OPTION,
    wait: bool = _WAIT,
    wait_limit: float = _WAIT_LIMIT,
) -> None:
    """Give a target or failure domain no new work."""
    report_accepted(
        operator,
        run_with_session(operator, _change_drained, name, True),
        wait,
        wait_limit,
    )


def undrain(
    name: str,
    operator: str = OPERATOR_OPTION,
    wait: bool = _WAIT,
    wait_limit: float = _WAIT_LIMIT,
) -> None:
    """Let a target or failure domain take work again."""
    report_accepted(
        operator,
        run_with_session(operator, _change_drained, name, False),
        wait,
        wait_limit,
    )


async def _get_statuses(session):
    return await session.get_statuses()


async def _look_up(service, client, entry):
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                "GET", f"http://{entry}/lookup?service={service}&client={client}"
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
            raise PeerUnreachable(f"{entry}: {exc!r}") from None
    return response.content.decode()


async def _change_drained(session, name, drained):
    manifest, source = await session.repository.get_current()
    changed = source.drain(name) if drained else source.undrain(name)
    if changed == source and not drained:
        raise ConfigurationMissing(f"{name} is not drained")
    compile_source(changed)
    note = f"{'drain' if drained else 'undrain'} {name}"
    return await session.repository.accept(
        changed, session.settings.author, note, manifest.revision
    )


def _format_instances(found, silent):
    yield (
        f"{'INSTANCE':<20}{'STATUS':<10}{'REVISION':>9}{'TARGETS':>9}{'IN FLIGHT':>11}"
    )
    for name, item in sorted(found.items()):
        in_flight = sum(target.in_flight for target in item.targets)
        yield (
            f"{name:<20}{item.status:<10}{item.revision:>9}"
            f"{len(item.targets):>9}{in_flight:>11}"
        )
    for name in sorted(silent):
        yield f"{name:<20}{'silent':<10}"


def _format_targets(found):
    yield ""
    yield (
        f"{'TARGET':<20}{'OWNER':<20}{'SLOTS':>6}{'FREE':>6}{'FOREIGN':>9}"
        f"{'CAP':>5}  STATE"
    )
    rows = [(t.name, name, t) for name, item in found.items() for t in item.targets]
    for target_name, owner, target in sorted(rows, key=lambda row: row[:2]):
        yield (
            f"{target_name:<20}{owner:<20}{target.slots:>6}{target.free:>6}"
            f"{target.foreign:>9}{target.foreign_cap:>5}  {_get_state(target)}"
        )


def _get_state(target):
    names = ("leaving", "ejected", "adopted")
    return ",".join(name for name in names if getattr(target, name)) or "ok"
