"""The ``platform`` commands: store entries as entry instances decode them."""

from contextlib import asynccontextmanager

import anyio
import msgspec
import typer

from ..address import Address
from ..errors import StoreEntryInvalid
from ..platform import (
    MetadataStoreClient,
    decode_endpoint,
    decode_member,
    decode_routing_configuration,
    get_evacuated_domain,
    get_member_name,
    get_target_id,
    protocol,
)
from ..settings import read_gateway_settings
from ..steering import EndpointCatalog

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True,
    help="Show the content of the platform's store; check settings.",
)

_STORE = typer.Option(..., "--store", help="IP:PORT of the platform's store")
_JSON = typer.Option(False, "--json", help="Print JSON, for programs")


@app.command()
def check(settings: str) -> None:
    """Check the settings file of an entry instance."""
    checked = read_gateway_settings(settings)
    typer.echo(f"{settings}: {checked.name} in {checked.failure_domain}, no error")


@app.command()
def configuration(store: str = _STORE, as_json: bool = _JSON) -> None:
    """Show the routes of the current configuration, with --json all of it."""
    entry = anyio.run(_get_entry, store, protocol.CONFIGURATION_KEY)
    if entry is None:
        typer.echo("the store holds no configuration")
        raise typer.Exit(1)
    current = decode_routing_configuration(entry.value)
    if as_json:
        typer.echo(msgspec.json.encode(current, enc_hook=_encode_set).decode())
        return
    typer.echo(f"version {current.version}, revision {entry.revision}")
    typer.echo(
        f"{'ROUTE':<14}{'HOST':<20}{'PREFIX':<26}{'KIND':<16}{'TIMEOUT':>9}"
        f"{'OBJECTIVE':>11}  BACKENDS"
    )
    for route in current.routes:
        backends = ", ".join(f"{b.service} {b.weight:g}" for b in route.backends)
        typer.echo(
            f"{route.name:<14}{route.host:<20}{route.prefix:<26}"
            f"{route.kind.value:<16}{route.timeout:>8.2f}s{route.objective:>10.2f}s"
            f"  {backends}"
        )


@app.command()
def targets(store: str = _STORE, as_json: bool = _JSON) -> None:
    """Show the registered targets, and why each one is used or not."""
    columns = {"target": 16, "service": 16, "failure_domain": 22, "slots": 6, "use": 0}
    _print_rows(anyio.run(_get_target_rows, store), columns, as_json)


@app.command()
def members(store: str = _STORE, as_json: bool = _JSON) -> None:
    """Show the registered entry instances."""
    columns = {"name": 28, "address": 24, "failure_domain": 22, "revision": 10}
    _print_rows(anyio.run(_get_member_rows, store), columns | {"error": 0}, as_json)


@app.command()
def evacuations(store: str = _STORE, as_json: bool = _JSON) -> None:
    """Show the evacuated failure domains, which get no new requests."""
    entries = anyio.run(_get_entries, store, protocol.EVACUATION_PREFIX)
    domains = [get_evacuated_domain(entry.key) for entry in entries]
    if as_json:
        typer.echo(msgspec.json.encode(domains).decode())
        return
    for name in domains:
        typer.echo(name)


def _print_rows(rows, columns, as_json):
    """Print rows as JSON, or as a table.

    :param columns: {key of a row: width in characters}, in order.
    """
    if as_json:
        typer.echo(msgspec.json.encode(rows).decode())
        return
    titles = {key: key.replace("_", " ").upper() for key in columns}
    for row in (titles, *rows):
        cells = (f"{row.get(key, '')!s:<{width}}" for key, width in columns.items())
        typer.echo("".join(cells).rstrip())


@asynccontextmanager
async def _open_store(address):
    store = MetadataStoreClient(Address.parse(address))
    try:
        yield store
    finally:
        await store.aclose()


async def _get_entry(address, key):
    async with _open_store(address) as store:
        return await store.get(key)


async def _get_entries(address, prefix):
    async with _open_store(address) as store:
        return (await store.get_all(prefix)).entries


async def _get_target_rows(address):
    async with _open_store(address) as store:
        evacuated = await store.get_all(protocol.EVACUATION_PREFIX)
        configured = await store.get(protocol.CONFIGURATION_KEY)
        registered = await store.get_all(protocol.TARGET_PREFIX)
    catalog = EndpointCatalog()
    for entry in evacuated.entries:
        catalog.evacuate(get_evacuated_domain(entry.key))
    if configured is not None:
        catalog.set_profiles(decode_routing_configuration(configured.value).services)
    rows = []
    for entry in registered.entries:
        name = get_target_id(entry.key)
        try:
            endpoint = decode_endpoint(entry.key, entry.value)
        except StoreEntryInvalid as exc:
            rows.append({"target": name, "use": f"no: {exc}"})
            continue
        rows.append(
            {
                "target": name,
                "service": endpoint.service,
                "failure_domain": endpoint.failure_domain,
                "address": str(endpoint.address),
                "slots": endpoint.slots,
                "revision": entry.revision,
                "use": _describe_use(endpoint, catalog),
            }
        )
    return rows


def _describe_use(endpoint, catalog):
    if endpoint.is_draining:
        return "no: draining"
    if endpoint.failure_domain in catalog.get_evacuated_domains():
        return "no: its failure domain is evacuated"
    if catalog.get_profile(endpoint.service) is None:
        return "no: the configuration has no such service"
    if endpoint.cold_remaining:
        return f"little: cold for {endpoint.cold_remaining:g} s after its registration"
    return "yes"


async def _get_member_rows(address):
    rows = []
    for entry in await _get_entries(address, protocol.MEMBER_PREFIX):
        name = get_member_name(entry.key)
        row = {"name": name, "revision": entry.revision}
        try:
            member = decode_member(entry.key, entry.value)
        except StoreEntryInvalid as exc:
            rows.append(row | {"error": str(exc)})
            continue
        rows.append(
            row
            | {
                "address": str(member.address),
                "failure_domain": member.failure_domain,
                "region": member.region,
                "nonce": member.nonce,
            }
        )
    return rows


def _encode_set(value):
    """Encode a frozenset; an ``enc_hook`` of msgspec."""
    if isinstance(value, frozenset):
        return sorted(value)
    raise TypeError(type(value).__name__)
