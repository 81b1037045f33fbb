"""Slopes of what control costs an instance, from real processes at rest and
under changes."""

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpcore

from .cluster import Cluster
from .measure import Measure
from .process import get_cpu

__all__ = ["run_capacity"]

REGIONS = 5
DOMAINS = 10
BLOCKS = 150_000
TARGET_NODES = 710
SIZES = (40, 60, 80)
REST = 10.0  # seconds
SETTLE_PER_NODE = 0.5  # seconds
SETTLE = 6.0  # seconds
CPU_BOUND = 4.2  # per cent of a core
MEMORY_BOUND = 64.0  # MB
BYTES_BOUND = 12.0  # KB a second
FORCE_BOUND = 10.0  # seconds
KB = 1000
KEY = "capacity-run-key-0"
TEMPLATES = """[template plain]
[class plain.any]
path = /*
kind = idempotent
deadline = 3s
"""


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost of an instance; CPU in per cent of a core, traffic in KB/s."""

    nodes: int
    cpu: float
    memory: float
    sent: float
    received: float
    messages: float
    store_calls: float


async def run_capacity(seed):
    """Return the measures for all sizes and what they mean at the target."""
    measures, costs = [], []
    for size in SIZES:
        with tempfile.TemporaryDirectory() as root:
            write_deployment(Path(root) / "capacity", size, BLOCKS)
            async with Cluster("capacity", examples=Path(root)) as cluster:
                await anyio.sleep(SETTLE + SETTLE_PER_NODE * size)
                cost = await measure_rest(cluster)
                costs.append(cost)
                measures += _describe(cost)
                measures += await _measure_changes(cluster, size)
    return measures + _fit(costs)


def write_deployment(directory, size, blocks):
    """Write the files of a deployment of ``size`` entry instances."""
    (directory / "entries").mkdir(parents=True)
    (directory / "upstreams").mkdir()
    names = [f"n{number:03d}" for number in range(size)]
    (directory / "templates.ini").write_text(TEMPLATES)
    _write_parameters(directory, size)
    lines = [
        f"{number >> 16}.{number >> 8 & 255}.{number & 255}.0/24 = r{number % REGIONS}"
        for number in range(1 << 20, (1 << 20) + blocks)
    ]
    (directory / "blocks.ini").write_text("[blocks]\n" + "\n".join(lines) + "\n")
    for number, name in enumerate(names):
        _write_entry(directory, number, name)
    (directory / "operator.ini").write_text(
        "[operator]\nworkspace = capacity\nauthor = bench\nstore = 127.0.9.1:7000\n"
        f"key = {KEY}\nentries = {_get_host(0)}:7200, {_get_host(1)}:7200\n"
    )


async def measure_rest(cluster):
    """Return the mean cost of the instances over some seconds."""
    pids = [cluster.get_pid(name) for name in cluster.entries]
    before = [get_cpu(pid) for pid in pids]
    counters = await _get_counters(cluster)
    began = time.monotonic()
    await anyio.sleep(REST)
    seconds = time.monotonic() - began
    after = await _get_counters(cluster)
    cpu = [get_cpu(pid) - first for pid, first in zip(pids, before, strict=True)]
    size = len(pids)

    def get_rate(name):
        return sum(after[n][name] - counters[n][name] for n in after) / size / seconds

    return Cost(
        nodes=size,
        cpu=100 * sum(cpu) / size / seconds,
        memory=max(_get_memory(pid) for pid in pids),
        sent=get_rate("control_sent_bytes") / KB,
        received=get_rate("control_received_bytes") / KB,
        messages=get_rate("control_sent_messages"),
        store_calls=get_rate("store_calls") * size,
    )


async def _measure_changes(cluster, size):
    """Change the configuration, then restart and kill an instance."""
    before = await _get_counters(cluster)
    began = time.monotonic()
    applied = await anyio.to_thread.run_sync(
        lambda: cluster.run_cli("drain", "t000", "--wait", check=False)
    )
    seconds = time.monotonic() - began
    after = await _get_counters(cluster)
    moved = sum(
        after[name]["control_sent_bytes"] - before[name]["control_sent_bytes"]
        for name in after
    )
    calls = sum(after[n]["store_calls"] - before[n]["store_calls"] for n in after)
    killed = list(cluster.entries)[-1]
    cluster.kill(killed)
    began = time.monotonic()
    while await _count_members(cluster) >= size:
        await anyio.sleep(0.1)
    name = f"capacity.{size}"
    return [
        Measure(
            f"{name}.change_in_force",
            seconds if applied.returncode == 0 else float("inf"),
            "s with the command line",
            FORCE_BOUND,
        ),
        Measure(f"{name}.change_bytes", moved / size / KB, "KB of control a node"),
        Measure(f"{name}.change_store_calls", calls, "calls of all nodes"),
        Measure(f"{name}.loss_seen", time.monotonic() - began, "s", 3.0),
    ]


def _describe(cost):
    name = f"capacity.{cost.nodes}"
    return [
        Measure(f"{name}.cpu", cost.cpu, "% of a core", CPU_BOUND),
        Measure(f"{name}.memory", cost.memory, "MB resident, largest", MEMORY_BOUND),
        Measure(f"{name}.sent", cost.sent, "KB/s", BYTES_BOUND),
        Measure(f"{name}.received", cost.received, "KB/s", BYTES_BOUND),
        Measure(f"{name}.messages", cost.messages, "1/s"),
        Measure(f"{name}.store_calls", cost.store_calls, "1/s of all nodes"),
    ]


def _fit(costs):
    """Fit a line through each figure and evaluate it at the target."""
    measures = []
    for field, unit, bound in (
        ("cpu", "% of a core", CPU_BOUND),
        ("memory", "MB", MEMORY_BOUND),
        ("sent", "KB/s", BYTES_BOUND),
        ("received", "KB/s", BYTES_BOUND),
        ("store_calls", "1/s of all nodes", None),
    ):
        points = [(cost.nodes, getattr(cost, field)) for cost in costs]
        slope, base, residual = fit_line(points)
        name = f"capacity.fit.{field}"
        measures += [
            Measure(f"{name}.slope", slope, f"{unit} a node"),
            Measure(f"{name}.residual", residual, unit),
            Measure(
                f"{name}.at_{TARGET_NODES}", base + slope * TARGET_NODES, unit, bound
            ),
        ]
    return measures


def fit_line(points):
    """Return (slope, value at 0, largest residual) of a least squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    return slope, base, max(abs(y - base - slope * x) for x, y in points)


def _write_parameters(directory, size):
    lines = ["[workspace]\nname = capacity\nlink_mbit_per_second = 1000"]
    for domain in range(DOMAINS):
        entries = len(range(domain, size, DOMAINS))
        lines.append(
            f"[domain d{domain}]\nregion = r{domain % REGIONS}\nentries = {entries}"
        )
    lines.append("[service s]\ntemplate = plain\nslots = 5\n[targets s]")
    for site in range(180):
        host = f"127.9.{site >> 7}.{site & 127}"
        lines.append(f"t{site:03d} = d{site % DOMAINS} {host}:9000")
    (directory / "parameters.ini").write_text("\n".join(lines) + "\n")


def _write_entry(directory, number, name):
    host = _get_host(number)
    domain = number % DOMAINS
    (directory / "entries" / f"{name}.ini").write_text(
        f"[instance]\nname = {name}\nworkspace = capacity\n"
        f"region = r{domain % REGIONS}\nfailure_domain = d{domain}\n"
        f"[listen]\ncallers = {host}:7100\npeers = {host}:7200\n"
        f"control = {host}:7300\n[store]\naddress = 127.0.9.1:7000\n"
        f"[peers]\nkey = {KEY}\nseeds = {_get_host(0)}:7300, {_get_host(1)}:7300\n"
    )


def _get_host(number):
    return f"127.8.{number // 200}.{number % 200 + 1}"


async def _get_counters(cluster):
    """Return {instance: {gauge: value}} from all metrics pages."""
    found = {}
    async with httpcore.AsyncConnectionPool() as pool:
        for name, entry in cluster.entries.items():
            url = f"http://{entry.listen_peers}/metrics"
            response = await pool.request("GET", url)
            found[name] = _parse_gauges(response.content.decode())
    return found


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
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0
