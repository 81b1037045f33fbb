"""Functions that write a gateway's settings and start its process."""

import os
import subprocess
import sys

__all__ = ["DOMAIN_REGIONS", "SHUTDOWN_GRACE", "start_gateway", "write_settings"]

SHUTDOWN_GRACE = 4.0  # seconds from SIGTERM to SIGKILL
DOMAIN_REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
SETTINGS_TEMPLATE = """[instance]
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


def write_settings(
    path,
    name,
    host,
    first_port,
    store_port,
    failure_domain="a1",
    seeds=(),
    grace=SHUTDOWN_GRACE,
):
    """Write a gateway's settings file.

    :param path: path of the file.
    :param first_port: first of five consecutive ports: clients, readiness,
        directory, peers, metrics.
    :param failure_domain: a key of :data:`DOMAIN_REGIONS`.
    :param seeds: peer ports of the gateways to join through.
    :param grace: seconds from SIGTERM to SIGKILL.
    """
    ports = ("clients", "readiness", "directory", "peers", "metrics")
    path.write_text(
        SETTINGS_TEMPLATE.format(
            name=name,
            failure_domain=failure_domain,
            region=DOMAIN_REGIONS[failure_domain],
            host=host,
            store=store_port,
            seeds=",".join(f"{host}:{port}" for port in seeds),
            regions="\n".join(
                f"{key} = {value}" for key, value in DOMAIN_REGIONS.items()
            ),
            grace=grace,
            **{key: first_port + offset for offset, key in enumerate(ports)},
        )
    )


def start_gateway(path, log):
    """Start a gateway and return its :class:`subprocess.Popen`.

    :param path: path of the settings file.
    :param log: path of the file to which its output is appended.
    """
    with log.open("ab") as file:
        return subprocess.Popen(
            [sys.executable, "-m", "turmericrudder.gateway"],
            env={**os.environ, "TURMERICRUDDER_CONFIG": str(path)},
            stdout=file,
            stderr=file,
        )
