"""Environment of a run: store, targets and proxies here, gateways as processes."""

import re
import signal
from pathlib import Path

import anyio
import httpcore
import msgspec

from standins.asgi import serve
from standins.gateway import (
    DOMAIN_REGIONS,
    SHUTDOWN_GRACE,
    start_gateway,
    write_settings,
)
from standins.store import StoreApplication, StoreFault
from standins.target import TargetApplication, TargetFault
from turmericrudder.http_client import TRANSPORT_ERRORS, make_timeout_extensions
from turmericrudder.platform import protocol

from .proxy import Proxy

__all__ = ["Environment"]

HOST = "127.0.30.1"
PORTS_PER_GATEWAY = 10
METRICS_TIMEOUT = 4.0  # seconds
# Offsets from the run's first port.
GATEWAY_PORT_OFFSET = 100  # first port of the first gateway
TARGET_PORT_OFFSET = 20  # first target
PROXY_PORT_OFFSET = 60  # proxy of the first target
FAILURE_DOMAINS = tuple(DOMAIN_REGIONS)


def handles_signal(pid, number):
    """Return whether a process has installed a handler for a signal.

    Source: the line ``SigCgt`` of ``/proc/PID/status``, a mask of signals.
    """
    status = Path(f"/proc/{pid}/status").read_text()
    mask = int(re.search(r"^SigCgt:\s*([0-9a-f]+)$", status, re.MULTILINE)[1], 16)
    return bool(mask >> (number - 1) & 1)


class GatewayProcess:
    """One gateway, whose process may be stopped and started again.

    :ivar process: the :class:`subprocess.Popen` of the latest start.
    :ivar failed_shutdowns: a line for each graceful shutdown that did not end within
        the grace time with status 0, although no other signal was sent meanwhile. A
        process that had not installed its handler yet may also end by the signal.
    """

    def __init__(self, path, log):
        self._path = path
        self._log = log
        self._signal_count = 0
        self._is_stopping = False
        self.process = None
        self.failed_shutdowns = []

    def start(self):
        """Start the process unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        self._is_stopping = False
        self.process = start_gateway(self._path, self._log)

    def send_signal(self, number):
        """Send a signal to the process unless it has ended."""
        if self.process is not None and self.process.poll() is None:
            self._signal_count += 1
            self.process.send_signal(number)

    async def stop(self):
        """Shut the process down gracefully and start it again.

        A shutdown that fails is added to :attr:`failed_shutdowns`.
        """
        if self.process.poll() is not None:
            return  # killed by another fault, which starts it again
        accepted = {0}
        is_starting = not handles_signal(self.process.pid, signal.SIGTERM)
        if is_starting and not self._is_stopping:
            accepted.add(-signal.SIGTERM)
        self._is_stopping = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        process, signal_count = self.process, self._signal_count
        with anyio.move_on_after(SHUTDOWN_GRACE):
            while process.poll() is None:
                await anyio.sleep(0.05)
        if process.poll() not in accepted and self._signal_count == signal_count:
            self.failed_shutdowns.append(
                f"{self._path.name}: exit status {process.poll()} after SIGTERM"
            )
        if process.poll() is None:
            process.kill()
            process.wait()
        self.start()

    def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Environment:
    """Store, targets, proxies and gateways of one run.

    Gateways reach the store and the targets through the proxies only.

    :param first_port: first of the ports that the run uses.
    :param directory: directory for the settings and logs of gateways.
    :param gateways: number of gateways.
    :param targets: number of targets.
    :param seed: seed of the random part of the targets' faults.
    """

    def __init__(self, first_port, directory, gateways=3, targets=6, seed=0):
        self._first_port = first_port
        self._directory = Path(directory)
        self.store = StoreApplication(0.0)
        self.targets = [
            TargetApplication(f"t{number}", slots=4, service_time=0.02, seed=seed)
            for number in range(targets)
        ]
        self.target_proxies = [
            Proxy(
                HOST,
                first_port + PROXY_PORT_OFFSET + n,
                first_port + TARGET_PORT_OFFSET + n,
            )
            for n in range(targets)
        ]
        self.store_proxies = [
            Proxy(HOST, first_port + 1 + n, first_port) for n in range(gateways)
        ]
        self.gateways = [self._make_gateway(n, gateways) for n in range(gateways)]
        self._sequence = 1
        self._configuration_version = 0
        self._written = {}

    async def start(self, tasks):
        """Start everything, servers and proxies in a task group."""
        applications = [(self.store, f"{HOST}:{self._first_port}")]
        for number, target in enumerate(self.targets):
            applications.append(
                (target, f"{HOST}:{self._first_port + TARGET_PORT_OFFSET + number}")
            )
        tasks.start_soon(serve, applications)
        for proxy in [*self.target_proxies, *self.store_proxies]:
            await tasks.start(proxy.run)
        self.put_configuration()
        for number in range(len(self.targets)):
            self.register_target(number)
        for gateway in self.gateways:
            gateway.start()

    def close(self):
        """Kill all gateway processes."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            gateway.kill()

    def get_client_port(self, number):
        """Return the port of a gateway for clients, the first of its ports."""
        return self._first_port + GATEWAY_PORT_OFFSET + number * PORTS_PER_GATEWAY

    def get_runs(self):
        """Return the attempt id of each execution by a target."""
        return [run for target in self.targets for run in target.runs]

    def register_target(self, number, state="ready"):
        """Write a target's store entry.

        :param state: ``ready`` or ``draining``.
        """
        self._sequence += 1
        self.put(
            f"{protocol.TARGET_PREFIX}t{number}",
            {
                "service": "s1",
                "address": f"{HOST}:{self._first_port + PROXY_PORT_OFFSET + number}",
                "zone": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                "version": "v1",
                "slots": 4,
                "state": state,
                "cold_left_ms": 0,
                "seq": self._sequence,
                "born": 1,
            },
        )

    def put_configuration(self):
        """Write the next version of the configuration and return its number."""
        self._configuration_version += 1
        self.put(
            protocol.CONFIGURATION_KEY, _make_configuration(self._configuration_version)
        )
        return self._configuration_version

    async def get_configuration_version(self, number):
        """Return the version in force at a gateway, ``None`` if it does not respond."""
        # The fifth port of each gateway is for metrics.
        url = f"http://{HOST}:{self.get_client_port(number) + 4}/metrics"
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                response = await pool.request(
                    "GET", url, extensions=make_timeout_extensions(METRICS_TIMEOUT)
                )
            except TRANSPORT_ERRORS:
                return None
        for line in response.content.decode().splitlines():
            series, _, value = line.rpartition(" ")
            if series == "turmericrudder_configuration_version":
                return int(float(value))
        return None

    def put(self, key, value):
        """Write a key of the store, or remove it if the value is ``None``."""
        self._written[key] = value
        self.store.put_document(key, value)

    def restore_store(self, copy):
        """Restore the store from a copy and write again what it has lost."""
        self.store.restore(copy)
        for key, value in self._written.items():
            self.store.put_document(key, value)

    def set_store_fault(self, **fault):
        """Replace the fault of the store; without arguments, end it."""
        self.store.set_fault(StoreFault(**fault))

    def set_target_fault(self, number, **fault):
        """Replace the fault of a target; without further arguments, end it."""
        self.targets[number].fault = TargetFault(**fault)

    def _make_gateway(self, number, count):
        first_port = self.get_client_port(number)
        failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        # The fourth port of each gateway is for its peers.
        peer_ports = [self.get_client_port(n) + 3 for n in range(count)]
        path = self._directory / f"g{number}.ini"
        store_port = self.store_proxies[number].port
        write_settings(
            path, f"g{number}", HOST, first_port, store_port, failure_domain, peer_ports
        )
        return GatewayProcess(path, self._directory / f"g{number}.log")


def _make_configuration(version):
    columns = ["name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority"]
    columns += ["service", "max_attempts", "affinity"]
    return msgspec.to_builtins(
        {
            "version": f"r{version}",
            "routes": {
                "columns": columns,
                "rows": [
                    ["r1", "h", "/read/", "idempotent", 3000, 500, 1, "s1", 3, True],
                    [
                        "r2",
                        "h",
                        "/write/",
                        "non_idempotent",
                        3000,
                        500,
                        1,
                        "s1",
                        3,
                        True,
                    ],
                ],
            },
            "services": {
                "columns": ["name", "health_path", "max_conns"],
                "rows": [["s1", "/health", 100]],
            },
            "limits": {
                "max_header_bytes": 4096,
                "max_body_bytes": 1_000_000,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 10_000,
            },
        }
    )
