"""Entry instances with a scripted upstream on raw sockets.

As a program, it runs one with a short limit of its stop: ``HOST UPSTREAM_PORT``.
"""

import contextlib
import sys
from types import SimpleNamespace

import anyio

from turmericrudder.address import Address
from turmericrudder.configuration import (
    BlockTable,
    Configuration,
    PackedBlocks,
    RequestClass,
    Service,
    Target,
)
from turmericrudder.daemon import EntryInstance
from turmericrudder.settings import EntrySettings, LimitSettings, TimingSettings

__all__ = ["IDLE_TIMEOUT", "STOPPED_PORT", "serve_entries", "serve_raw"]

IDLE_TIMEOUT = 0.5  # seconds
STOPPED_PORT = 7420  # of the instance that runs as a program
_STOP_TIMING = TimingSettings(heartbeat=0.1, lookup_ttl=0.1, drain_limit=0.3)
OUTCOME_BYTES = 1_000_000
TARGETS = 200  # all at the same address; a failure ejects only one


@contextlib.asynccontextmanager
async def serve_raw(host, handle):
    """Serve connections by ``handle`` and yield the :class:`Address`."""

    async def handle_safely(stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await handle(stream)

    listener = await anyio.create_tcp_listener(local_host=host)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle_safely)
        yield Address(host, port)
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def serve_entries(host, handle):
    """Run the owner of all targets and an instance without any, and yield both.

    :param handle: function that serves a connection to the upstream.
    """
    async with serve_raw(host, handle) as upstream:
        owner = EntryInstance(_make_settings(host, "owner", 7400))
        other = EntryInstance(_make_settings(host, "other", 7410))
        configuration = _make_configuration(upstream)
        async with anyio.create_task_group() as tasks:
            for instance in (owner, other):
                tasks.start_soon(instance.run)
            for instance in (owner, other):
                await _configure(instance, configuration)
            with anyio.fail_after(10):
                while not _is_serving(owner, other):
                    await anyio.sleep(0.02)
            yield SimpleNamespace(owner=owner, other=other)
            tasks.cancel_scope.cancel()


async def _configure(instance, configuration):
    while instance.operation_coordinator is None:
        await anyio.sleep(0.01)
    instance.configurator.configuration = configuration
    instance._apply_configuration()


async def _run_stopped(host, upstream):
    settings = _make_settings(host, "owner", STOPPED_PORT, _STOP_TIMING)
    instance = EntryInstance(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_configure, instance, _make_configuration(upstream, 9.0))
        return await instance.run()


def _is_serving(owner, other):
    states = owner.dispatcher.allocator.get_states("s")
    return (
        all(
            len(instance.membership.view.get_live()) == 2
            and instance.operation_coordinator.prefix
            for instance in (owner, other)
        )
        and not other.dispatcher.allocator.get_states("s")
        and states
        and all(state.get_free_slots(anyio.current_time()) for state in states)
    )


def _make_settings(host, name, port, timing=None):
    return EntrySettings(
        name=name,
        workspace="w",
        region="r",
        failure_domain=f"{name}-domain",
        listen_callers=Address(host, port),
        listen_peers=Address(host, port + 1),
        listen_control=Address(host, port + 2),
        store=Address(host, 9),
        peer_key="secret-of-the-rig",
        seeds=() if timing else (Address(host, 7402), Address(host, 7412)),
        timing=timing or TimingSettings(heartbeat=0.1),
        limits=LimitSettings(outcome_bytes=OUTCOME_BYTES),
        log_format="plain",
        log_level="info",
    )


def _make_configuration(upstream, idle_timeout=IDLE_TIMEOUT):
    classes = (
        RequestClass("read", "GET", "*", False, True, False, 9.0, 9.0, idle_timeout),
        RequestClass(
            "operate", "POST", "*", True, False, False, 9.0, 9.0, idle_timeout
        ),
        RequestClass("upload", "*", "*", False, False, False, 9.0, 9.0, idle_timeout),
    )
    service = Service(
        "s", "t", classes, 5, 5, {"r": 1000}, 1.0, 1.0, 20, 0.1, 429, 503, "", ""
    )
    targets = {
        name: Target(name, "s", "owner-domain", upstream)
        for name in (f"t{number}" for number in range(TARGETS))
    }
    return Configuration(
        1, "w", {"owner-domain": "r", "other-domain": "r"},
        {"owner-domain": 1, "other-domain": 1}, {"s": service}, targets,
        BlockTable(PackedBlocks.pack([])), frozenset(), 10**9,
    )  # fmt: skip


if __name__ == "__main__":
    address = Address(sys.argv[1], int(sys.argv[2]))
    sys.exit(
        anyio.run(
            _run_stopped, sys.argv[1], address, backend_options={"use_uvloop": True}
        )
    )
