"""Control overhead of an entry instance, measured on deployments of several sizes.

Lines fitted through the measured values project the overhead for a large
deployment.
"""

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpcore

from .cluster import Cluster
from .measure import Measure
from .process import get_cpu_seconds

__all__ = ["run_capacity"]

REGION_COUNT = 5
DOMAIN_COUNT = 10
BLOCK_COUNT = 150_000  # address blocks
PROJECTED_NODES = 710  # size for which the overhead is projected
CLUSTER_SIZES = (40, 60, 80)  # entry instances
IDLE_TIME = 10.0  # seconds, duration of an idle measurement
SETTLE_TIME_PER_NODE = 0.5  # seconds
SETTLE_TIME = 6.0  # seconds
CPU_BOUND = 4.2  # percent of a core
MEMORY_BOUND = 64.0  # MB
BYTES_BOUND = 12.0  # KB/s
CHANGE_IN_FORCE_BOUND = 10.0  # seconds until a change is in force
KB = 1000
CLUSTER_KEY = "capacity-run-key-0"
TEMPLATES_INI = """[template plain]
[class plain.any]
path = /*
kind = idempotent
deadline = 3s
"""


@dataclass(frozen=True, slots=True)
class InstanceUsage:
    """Resource usage of an idle deployment, as a mean per instance unless noted.

    :param nodes: number of entry instances.
    :param cpu: percent of a core.
    :param memory: resident memory of the largest instance in MB.
    :param sent: control traffic sent in KB/s.
    :param received: control traffic received in KB/s.
    :param messages: control messages sent per second.
    :param store_calls: calls per second from all instances.
    """

    nodes: int
    cpu: float
    memory: float
    sent: float
    received: float
    messages: float
    store_calls: float


async def run_capacity(seed):
    """Return the measures for all sizes and the projected ones.

    :param seed: not used; experiments are called with it.
    """
    measures, usages = [], []
    for size in CLUSTER_SIZES:
        with tempfile.TemporaryDirectory() as root:
            write_deployment(Path(root) / "capacity", size, BLOCK_COUNT)
            async with Cluster("capacity", examples=Path(root)) as cluster:
                await anyio.sleep(SETTLE_TIME + SETTLE_TIME_PER_NODE * size)
                usage = await measure_idle(cluster)
                usages.append(usage)
                measures += _make_usage_measures(usage)
                measures += await _measure_changes(cluster, size)
    return measures + _make_fit_measures(usages)


def write_deployment(directory, size, blocks):
    """Write the files of a deployment.

    :param size: number of entry instances.
    :param blocks: number of address blocks.
    """
    (directory / "entries").mkdir(parents=True)
    (directory / "upstreams").mkdir()
    names = [f"n{number:03d}" for number in range(size)]
    (directory / "templates.ini").write_text(TEMPLATES_INI)
    _write_parameters(directory, size)
    lines = [
        f"{number >> 16}.{number >> 8 & 255}.{number & 255}.0/24"
        f" = r{number % REGION_COUNT}"
        for number in range(1 << 20, (1 << 20) + blocks)
    ]
    (directory / "blocks.ini").write_text("[blocks]\n" + "\n".join(lines) + "\n")
    for number, name in enumerate(names):
        _write_entry(directory, number, name)
    (directory / "operator.ini").write_text(
        "[operator]\nworkspace = capacity\nauthor = bench\nstore = 127.0.9.1:7000\n"
        f"key = {CLUSTER_KEY}\nentries = {_get_host(0)}:7200, {_get_host(1)}:7200\n"
    )


async def measure_idle(cluster):
    """Return the :class:`InstanceUsage` over ``IDLE_TIME``."""
    pids = [cluster.get_pid(name) for name in cluster.entries]
    before = [get_cpu_seconds(pid) for pid in pids]
    counters = await _get_counters(cluster)
    began = time.monotonic()
    await anyio.sleep(IDLE_TIME)
    seconds = time.monotonic() - began
    after = await _get_counters(cluster)
    cpu = [
        get_cpu_seconds(pid) - first for pid, first in zip(pids, before, strict=True)
    ]
    size = len(pids)

    def get_rate(name):
        return sum(after[n][name] - counters[n][name] for n in after) / size / seconds

    return InstanceUsage(
        nodes=size,
        cpu=100 * sum(cpu) / size / seconds,
        memory=max(_get_memory(pid) for pid in pids),
        sent=get_rate("control_sent_bytes") / KB,
        received=get_rate("control_received_bytes") / KB,
        messages=get_rate("control_sent_messages"),
        store_calls=get_rate("store_calls") * size,
    )


async def _measure_changes(cluster, size):
    """Drain a target, then kill an instance; return the measures of both."""
    before = await _get_counters(cluster)
    began = time.monotonic()
    drain_process = await anyio.to_thread.run_sync(
        lambda: cluster.run_cli("drain", "t000", "--wait", check=False)
    )
    seconds = time.monotonic() - began
    after = await _get_counters(cluster)
    sent_bytes = sum(
        after[name]["control_sent_bytes"] - before[name]["control_sent_bytes"]
        for name in after
    )
    calls = sum(after[n]["store_calls"] - before[n]["store_calls"] for n in after)
    killed_name = list(cluster.entries)[-1]
    cluster.kill(killed_name)
    began = time.monotonic()
    while await _count_members(cluster) >= size:
        await anyio.sleep(0.1)
    name = f"capacity.{size}"
    return [
        Measure(
            f"{name}.change_in_force",
            seconds if drain_process.returncode == 0 else float("inf"),
            "s with the command line",
            CHANGE_IN_FORCE_BOUND,
        ),
        Measure(f"{name}.change_bytes", sent_bytes / size / KB, "KB of control a node"),
        Measure(f"{name}.change_store_calls", calls, "calls of all nodes"),
        Measure(f"{name}.loss_seen", time.monotonic() - began, "s", 3.0),
    ]


def _make_usage_measures(usage):
    name = f"capacity.{usage.nodes}"
    return [
        Measure(f"{name}.cpu", usage.cpu, "% of a core", CPU_BOUND),
        Measure(f"{name}.memory", usage.memory, "MB resident, largest", MEMORY_BOUND),
        Measure(f"{name}.sent", usage.sent, "KB/s", BYTES_BOUND),
        Measure(f"{name}.received", usage.received, "KB/s", BYTES_BOUND),
        Measure(f"{name}.messages", usage.messages, "1/s"),
        Measure(f"{name}.store_calls", usage.store_calls, "1/s of all nodes"),
    ]


def _make_fit_measures(usages):
    """Fit a line through each value over the sizes; project it to PROJECTED_NODES."""
    measures = []
    for field, unit, bound in (
        ("cpu", "% of a core", CPU_BOUND),
        ("memory", "MB", MEMORY_BOUND),
        ("sent", "KB/s", BYTES_BOUND),
        ("received", "KB/s", BYTES_BOUND),
        ("store_calls", "1/s of all nodes", None),
    ):
        points = [(usage.nodes, getattr(usage, field)) for usage in usages]
        slope, intercept, residual = fit_line(points)
        name = f"capacity.fit.{field}"
        measures += [
            Measure(f"{name}.slope", slope, f"{unit} a node"),
            Measure(f"{name}.residual", residual, unit),
            Measure(
                f"{name}.at_{PROJECTED_NODES}",
                intercept + slope * PROJECTED_NODES,
                unit,
                bound,
            ),
        ]
    return measures


def fit_line(points):
    """Return (slope, value at 0, largest absolute residual) of a least-squares line.

    :param points: pairs (x, y).
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    return slope, intercept, max(abs(y - intercept - slope * x) for x, y in points)


def _write_parameters(directory, size):
    lines = ["[workspace]\nname = capacity\nlink_mbit_per_second = 1000"]
    for domain in range(DOMAIN_COUNT):
        entries = len(range(domain, size, DOMAIN_COUNT))
        lines.append(
            f"[domain d{domain}]\nregion = r{domain % REGION_COUNT}\n"
            f"entries = {entries}"
        )
    lines.append("[service s]\ntemplate = plain\nslots = 5\n[targets s]")
    for target_number in range(180):
        host = f"127.9.{target_number >> 7}.{target_number & 127}"
        lines.append(
            f"t{target_number:03d} = d{target_number % DOMAIN_COUNT} {host}:9000"
        )
    (directory / "parameters.ini").write_text("\n".join(lines) + "\n")


def _write_entry(directory, number, name):
    host = _get_host(number)
    domain = number % DOMAIN_COUNT
    (directory / "entries" / f"{name}.ini").write_text(
        f"[instance]\nname = {name}\nworkspace = capacity\n"
        f"region = r{domain % REGION_COUNT}\nfailure_domain = d{domain}\n"
        f"[listen]\ncallers = {host}:7100\npeers = {host}:7200\n"
        f"control = {host}:7300\n[store]\naddress = 127.0.9.1:7000\n"
        f"[peers]\nkey = {CLUSTER_KEY}\n"
        f"seeds = {_get_host(0)}:7300, {_get_host(1)}:7300\n"
    )


def _get_host(number):
    return f"127.8.{number // 200}.{number % 200 + 1}"


async def _get_counters(cluster):
    """Return {instance: {metric name without prefix: value}} of all instances."""
    gauges_by_instance = {}
    async with httpcore.AsyncConnectionPool() as pool:
        for name, entry in cluster.entries.items():
            url = f"http://{entry.listen_peers}/metrics"
            response = await pool.request("GET", url)
            gauges_by_instance[name] = _parse_gauges(response.content.decode())
    return gauges_by_instance


async def _count_members(cluster):
    entry = next(iter(cluster.entries.values()))
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{entry.listen_peers}/metrics")
    return _parse_gauges(response.content.decode())["members"]


def _parse_gauges(text):
    gauges = {}
    for line in text.splitlines():
        if line.startswith("#"):
            continue
        name, _, value = line.rpartition(" ")
        gauges[name.removeprefix("turmericrudder_")] = float(value)
    return gauges


def _get_memory(pid):
    """Return the resident memory of a process in MB, 0.0 if unknown."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0
