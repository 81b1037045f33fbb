"""Start and end the processes of one example deployment."""

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
START_LIMIT = 120.0  # seconds
STEP = 0.1  # seconds
STOP_LIMIT = 10.0  # seconds


class Cluster:
    """The processes of one deployment: store, upstreams, entry instances.

    Only processes started here are ended, each by its own handle.
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
        """Start everything and wait until each entry instance serves."""
        self.start_store()
        for path in sorted((self.directory / "upstreams").glob("*.ini")):
            self._start(f"upstream-{path.stem}", "standins", "upstream", path)
        for name in self.entries:
            self.start_entry(name)
        await self.wait_listening(self.operator.store)
        self.run_cli("config", "apply", self.directory)
        for name in self.entries:
            await self.wait_serving(name)

    def start_store(self):
        """Start the stand-in of the platform."""
        store = str(self.operator.store)
        self._start("store", "standins", "store", store)

    def start_entry(self, name):
        """Start an entry instance."""
        path = self.directory / "entries" / f"{name}.ini"
        self._start(name, "turmericrudder", "entry", "--settings", path)

    def run_cli(self, *arguments, check=True):
        """Run an operator's command and return the finished process."""
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

    def send_signal(self, name, number):
        """Send a signal to a process started here."""
        self._processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    async def stop(self, name, limit=60.0):
        """Stop an entry instance gracefully.

        :returns: (exit code, seconds it took).
        """
        process = self._processes.pop(name)
        began = anyio.current_time()
        process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(limit):
            while process.poll() is None:
                await anyio.sleep(STEP / 4)
        if process.poll() is None:
            process.kill()
            process.wait()
        return process.returncode, anyio.current_time() - began

    def kill_all(self):
        """Kill every process started here that still runs."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_LIMIT)
        self._processes.clear()

    def get_upstreams(self):
        """Return {target name: address} of all upstream stand-ins."""
        found = {}
        for path in sorted((self.directory / "upstreams").glob("*.ini")):
            targets = parse_ini(path.read_text(), str(path), ValueError)["targets"]
            found |= {name: targets.get_text(name) for name in list(targets)}
        return found

    async def get_journals(self):
        """Return the journals of all upstream stand-ins by target name."""
        found = {}
        for name, address in self.get_upstreams().items():
            found[name] = await get_json(address, "/admin/journal")
        return found

    async def wait_serving(self, name):
        """Wait until an entry instance has a configuration in force."""
        address = self.entries[name].listen_callers
        with anyio.fail_after(START_LIMIT):
            while not await _is_ok(address, "/health"):
                await anyio.sleep(STEP)

    async def wait_listening(self, address):
        """Wait until something listens at an address."""
        with anyio.fail_after(START_LIMIT):
            while True:
                with contextlib.suppress(OSError):
                    stream = await anyio.connect_tcp(address.host, address.port)
                    await stream.aclose()
                    return
                await anyio.sleep(STEP)

    def _start(self, name, module, *arguments):
        command = [sys.executable, "-m", module, *map(str, arguments)]
        with (self.logs / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )


async def get_json(address, path):
    """Return the JSON document at an address."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{address}{path}")
    if response.status != 200:
        raise PeerUnreachable(f"{address}{path}: status {response.status}")
    return msgspec.json.decode(response.content)


async def post_json(address, path, document):
    """Send a JSON document to an address and return the answer's."""
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
