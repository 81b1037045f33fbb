"""Control over the processes of an example deployment."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
import httpcore
import msgspec

from turmericrudder.errors import PeerUnreachable
from turmericrudder.ini import parse_ini
from turmericrudder.settings import read_entry_settings, read_operator_settings

__all__ = ["EXAMPLES", "ROOT", "Cluster", "get_json", "post_json"]

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
START_TIMEOUT = 120.0  # seconds
POLL_INTERVAL = 0.1  # seconds
KILL_TIMEOUT = 10.0  # seconds


class Cluster:
    """The processes of a deployment: store, upstreams and entry instances.

    As an asynchronous context manager it starts all processes and kills them
    at the end. Only processes started by this object are signalled.

    :param logs: directory for the log of each process, a new one by default.
    :param examples: directory that contains the deployment.
    """

    def __init__(self, workspace, logs=None, examples=EXAMPLES):
        self.directory = examples / workspace
        self.operator_file = self.directory / "operator.ini"
        self.operator = read_operator_settings(self.operator_file)
        self.entries = {
            path.stem: read_entry_settings(path)
            for path in sorted((self.directory / "entries").glob("*.ini"))
        }
        self.logs = Path(logs or tempfile.mkdtemp(prefix="turmericrudder-"))
        self._processes = {}

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            self.kill_all()
            raise
        return self

    async def __aexit__(self, *exc_info):
        self.kill_all()

    async def start(self):
        """Start all processes and wait until each entry instance is healthy."""
        self.start_store()
        for path in sorted((self.directory / "upstreams").glob("*.ini")):
            self._start_process(f"upstream-{path.stem}", "standins", "upstream", path)
        for name in self.entries:
            self.start_entry(name)
        await self.wait_listening(self.operator.store)
        self.run_cli("config", "apply", self.directory)
        for name in self.entries:
            await self.wait_serving(name)

    def start_store(self):
        """Start the stand-in of the platform's store."""
        store = str(self.operator.store)
        self._start_process("store", "standins", "store", store)

    def start_entry(self, name):
        """Start an entry instance without waiting for it."""
        path = self.directory / "entries" / f"{name}.ini"
        self._start_process(name, "turmericrudder", "entry", "--settings", path)

    def run_cli(self, *arguments, check=True):
        """Run an operator's command and return the finished process.

        :raises subprocess.CalledProcessError: if ``check`` is set and the
            command failed.
        """
        command = [sys.executable, "-m", "turmericrudder", *map(str, arguments)]
        environment = os.environ | {"TURMERICRUDDER_OPERATOR": str(self.operator_file)}
        return subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            check=check,
        )

    def get_pid(self, name):
        """Return the process id of a started process."""
        return self._processes[name].pid

    def send_signal(self, name, signal_number):
        """Send a signal to a process started here."""
        self._processes[name].send_signal(signal_number)

    def kill(self, name):
        """Kill a process with SIGKILL and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    async def stop(self, name, timeout=60.0):
        """Stop an entry instance gracefully, or kill it after ``timeout``.

        :returns: (exit code, seconds that the shutdown took).
        """
        process = self._processes.pop(name)
        began = anyio.current_time()
        process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(timeout):
            while process.poll() is None:
                await anyio.sleep(POLL_INTERVAL / 4)
        if process.poll() is None:
            process.kill()
            process.wait()
        return process.returncode, anyio.current_time() - began

    def kill_all(self):
        """Kill all processes that still run."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(KILL_TIMEOUT)
        self._processes.clear()

    def get_upstreams(self):
        """Return {target name: address} of all upstream stand-ins."""
        addresses = {}
        for path in sorted((self.directory / "upstreams").glob("*.ini")):
            targets = parse_ini(path.read_text(), str(path), ValueError)["targets"]
            addresses |= {name: targets.get_text(name) for name in list(targets)}
        return addresses

    async def get_journals(self):
        """Return the journals of all upstream stand-ins by target name."""
        journals = {}
        for name, address in self.get_upstreams().items():
            journals[name] = await get_json(address, "/admin/journal")
        return journals

    async def wait_serving(self, name):
        """Wait until an entry instance has a configuration in force.

        :raises TimeoutError: after ``START_TIMEOUT``.
        """
        address = self.entries[name].listen_callers
        with anyio.fail_after(START_TIMEOUT):
            while not await _is_ok(address, "/health"):
                await anyio.sleep(POLL_INTERVAL)

    async def wait_listening(self, address):
        """Wait until an address accepts connections.

        :raises TimeoutError: after ``START_TIMEOUT``.
        """
        with anyio.fail_after(START_TIMEOUT):
            while True:
                with contextlib.suppress(OSError):
                    stream = await anyio.connect_tcp(address.host, address.port)
                    await stream.aclose()
                    return
                await anyio.sleep(POLL_INTERVAL)

    def _start_process(self, name, module, *arguments):
        command = [sys.executable, "-m", module, *map(str, arguments)]
        with (self.logs / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )


async def get_json(address, path):
    """Return the JSON document at a path.

    :param address: ``IP:PORT``.
    :raises PeerUnreachable: if the status of the response is not 200.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{address}{path}")
    if response.status != 200:
        raise PeerUnreachable(
            f"GET http://{address}{path} returned status {response.status}"
        )
    return msgspec.json.decode(response.content)


async def post_json(address, path, document):
    """Send a JSON document and return that of the response, ``None`` if empty."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST", f"http://{address}{path}", content=msgspec.json.encode(document)
        )
    return msgspec.json.decode(response.content or b"null")


async def _is_ok(address, path):
    try:
        await get_json(address, path)
    except (PeerUnreachable, httpcore.NetworkError):
        return False
    return True
