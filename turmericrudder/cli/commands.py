"""Commands that show the state of a running system, and drain targets."""

import anyio
import httpcore
import msgspec
import typer

from ..configuration import compile_source
from ..errors import ConfigurationMissing, PeerUnreachable
from .config import report_accepted
from .session import OPERATOR_OPTION, run_with_session

__all__ = ["register"]

_WAIT = typer.Option(
    False, "--wait", help="Wait until all live instances have the revision in force"
)
_WAIT_LIMIT = typer.Option(10.0, help="Longest time to wait, in seconds")
_JSON = typer.Option(False, "--json", help="Print JSON instead of a table")


def register(app):
    """Add the commands of this module to a typer application."""
    for command in (status, lookup, drain, undrain):
        app.command()(command)


def status(operator: str = OPERATOR_OPTION, as_json: bool = _JSON) -> None:
    """Show instances with their revisions, and targets with their slots and caps."""
    statuses, unreachable = run_with_session(operator, _get_statuses)
    if as_json:
        document = {"instances": statuses, "silent": sorted(unreachable)}
        typer.echo(msgspec.json.encode(document).decode())
        return
    for line in _format_instances(statuses, unreachable):
        typer.echo(line)
    for line in _format_targets(statuses):
        typer.echo(line)


def lookup(service: str, client: str, entry: str) -> None:
    """Show the entry instances for a client's IP address, best first.

    The argument entry is the IP:PORT at which an entry instance serves callers.
    """
    typer.echo(anyio.run(_look_up, service, client, entry))


def drain(
    name: str,
    operator: str = OPERATOR_OPTION,
    wait: bool = _WAIT,
    wait_limit: float = _WAIT_LIMIT,
) -> None:
    """Send no new requests to a target or failure domain."""
    report_accepted(
        operator,
        run_with_session(operator, _accept_drained, name, True),
        wait,
        wait_limit,
    )


def undrain(
    name: str,
    operator: str = OPERATOR_OPTION,
    wait: bool = _WAIT,
    wait_limit: float = _WAIT_LIMIT,
) -> None:
    """Send requests to a drained target or failure domain again."""
    report_accepted(
        operator,
        run_with_session(operator, _accept_drained, name, False),
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
            raise PeerUnreachable(f"look-up at {entry} failed: {exc!r}") from None
    return response.content.decode()


async def _accept_drained(session, name, is_drained):
    manifest, source = await session.repository.get_current()
    changed = source.drain(name) if is_drained else source.undrain(name)
    if changed == source and not is_drained:
        raise ConfigurationMissing(f"{name} is not drained")
    compile_source(changed)
    note = f"{'drain' if is_drained else 'undrain'} {name}"
    return await session.repository.accept(
        changed, session.settings.author, note, manifest.revision
    )


def _format_instances(statuses, unreachable):
    yield (
        f"{'INSTANCE':<20}{'STATUS':<10}{'REVISION':>9}{'TARGETS':>9}{'IN FLIGHT':>11}"
    )
    for name, instance in sorted(statuses.items()):
        in_flight = sum(target.in_flight for target in instance.targets)
        yield (
            f"{name:<20}{instance.status:<10}{instance.revision:>9}"
            f"{len(instance.targets):>9}{in_flight:>11}"
        )
    for name in sorted(unreachable):
        yield f"{name:<20}{'silent':<10}"


def _format_targets(statuses):
    yield ""
    yield (
        f"{'TARGET':<20}{'OWNER':<20}{'SLOTS':>6}{'FREE':>6}{'FOREIGN':>9}"
        f"{'CAP':>5}  STATE"
    )
    rows = [
        (target.name, owner, target)
        for owner, instance in statuses.items()
        for target in instance.targets
    ]
    for target_name, owner, target in sorted(rows, key=lambda row: row[:2]):
        yield (
            f"{target_name:<20}{owner:<20}{target.slots:>6}{target.free:>6}"
            f"{target.foreign:>9}{target.foreign_cap:>5}  {_format_state(target)}"
        )


def _format_state(target):
    names = ("leaving", "ejected", "adopted")
    return ",".join(name for name in names if getattr(target, name)) or "ok"
