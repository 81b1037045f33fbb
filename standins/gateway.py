"""Settings and processes of gateways, for tests and the soak."""

import os
import subprocess
import sys

__all__ = ["GRACE", "REGIONS", "start_gateway", "write_settings"]

GRACE = 4.0  # seconds from SIGTERM to SIGKILL
REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
TEMPLATE = """[instance]
name = {name}
failure_domain = {failure_domain}
region = {region}

[listen]
clients = {host}:{clients}
readiness = {host}:{readiness}
directory = {host}:{directory}
peers = {host}:{peers}
metrics = {host}:{metrics}
seeds = {seeds}

[store]
address = {host}:{store}
lease_min = 1000ms

[regions]
{regions}

[bounds]
grace = {grace}s
lookup_ttl = 2s
retry_ratio = 0.2
retry_extra = 64
retry_window = 10s
cold_overage = 1.5
cold_slack = 5
max_shift = 0.15
"""


def write_settings(path, name, host, first_port, store_port, domain="a1", seeds=()):
    """Write a gateway's settings file.

    :param first_port: of five: clients, readiness, directory, peers, metrics.
    :param seeds: ports of other gateways' peers.
    """
    ports = ("clients", "readiness", "directory", "peers", "metrics")
    path.write_text(
        TEMPLATE.format(
            name=name,
            failure_domain=domain,
            region=REGIONS[domain],
            host=host,
            store=store_port,
            seeds=",".join(f"{host}:{port}" for port in seeds),
            regions="\n".join(f"{key} = {value}" for key, value in REGIONS.items()),
            grace=GRACE,
            **{key: first_port + offset for offset, key in enumerate(ports)},
        )
    )


def start_gateway(path, log):
    """Start a gateway with a settings file and return its process.

    :param log: file that its lines are appended to.
    """
    with log.open("ab") as file:
        return subprocess.Popen(
            [sys.executable, "-m", "turmericrudder.gateway"],
            env={**os.environ, "TURMERICRUDDER_CONFIG": str(path)},
            stdout=file,
            stderr=file,
        )
