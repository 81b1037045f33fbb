"""Closed-loop and open-loop load on entry instances, with a sample per request."""

import random
import time

import anyio

from turmericrudder.caller import AnswerLost, Caller, NoAnswer, RequestNotRun

from .sample import Sample

__all__ = ["Load"]

TIMEOUT = 30.0  # seconds
CLIENTS_PER_REGION = 8
READERS_PER_REGION = 4  # closed loops of short reads


class Load:
    """Sends requests as clients of each region and records their results.

    A path contains the client's region and a random number, so that the
    journals of the upstreams show which requests ran.
    """

    def __init__(self, scenario, entries, seed, tries=0, timeout=TIMEOUT):
        """Create the callers of each region.

        :param entries: addresses (``IP:PORT``) of entry instances for callers.
        :param tries: attempts per request at most, 0 for no limit.
        :param timeout: seconds until a request fails.
        """
        self.scenario = scenario
        self.random = random.Random(seed)
        self.samples = []
        self._tries = tries
        self._timeout = timeout
        self._stopped = False
        self.callers = {
            region: [
                Caller(entries, local_address=get_client_address(client, number))
                for number in range(CLIENTS_PER_REGION)
            ]
            for region, client in scenario.clients.items()
        }

    async def aclose(self):
        """Close all callers."""
        for callers in self.callers.values():
            for caller in callers:
                await caller.aclose()

    def stop(self):
        """Make the loops end after their current requests."""
        self._stopped = True

    def get_samples(self, kind, end=None):
        """Return the samples of a kind, only those with ``end`` if given."""
        return [s for s in self.samples if s.kind == kind and end in (None, s.end)]

    async def read_once(self, region):
        """Send a short read."""
        await self._send("read", region, "GET", self.scenario.read)

    async def view_once(self, region):
        """Send a short read to the service that also has long requests."""
        await self._send("view", region, "GET", self.scenario.upload)

    async def upload_once(self, region, size):
        """Upload ``size`` bytes."""
        await self._send("upload", region, "PUT", self.scenario.upload, b"p" * size)

    async def pull_once(self, region, size):
        """Download ``size`` bytes with a long service time."""
        await self._send("pull", region, "GET", self.scenario.pull, size=size)

    async def book_once(self, region, timeout=10.0):
        """Run an operation with a new key; the caller retries it until ``timeout``."""
        service, path = self.scenario.book
        caller = self.random.choice(self.callers[region])
        began, started = time.time(), time.perf_counter()
        key = ""
        try:
            key = await caller.make_key(service)
            await caller.operate(
                "POST", service, path + "/1", body=b"{}", key=key, timeout=timeout
            )
            end = "answered"
        except NoAnswer as exc:
            end = exc.verdict.value
        seconds = time.perf_counter() - started
        self.samples.append(Sample("book", end, began, seconds, key=key))

    async def run_closed_loop(self, send_one, *arguments, delay=0.0):
        """Send requests one after the other until :meth:`stop`.

        :param send_one: method that sends one request, called with ``arguments``.
        :param delay: seconds between a response and the next request.
        """
        while not self._stopped:
            await send_one(*arguments)
            if delay:
                await anyio.sleep(delay)

    def start_mixed(self, tasks, upload_bytes, pull_bytes):
        """Start closed loops of all kinds of requests in every region."""
        for region in self.callers:
            for _ in range(READERS_PER_REGION):
                tasks.start_soon(self.run_closed_loop, self.read_once, region)
            tasks.start_soon(self.run_closed_loop, self.book_once, region)
            tasks.start_soon(
                self.run_closed_loop, self.upload_once, region, upload_bytes
            )
            tasks.start_soon(self.run_closed_loop, self.pull_once, region, pull_bytes)

    async def run_open_loop(self, rate, seconds, send_one, *arguments):
        """Send requests at random (Poisson) times, without awaiting responses.

        :param rate: mean rate in requests per second.
        :param seconds: how long to send requests.
        :param send_one: method that sends one request, called with ``arguments``.
        """
        end = anyio.current_time() + seconds
        next_arrival = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            while next_arrival < end and not self._stopped:
                next_arrival += self.random.expovariate(rate)
                await anyio.sleep(max(0.0, next_arrival - anyio.current_time()))
                tasks.start_soon(send_one, *arguments)

    async def _send(self, kind, region, method, service_and_path, body=b"", size=0):
        service, path = service_and_path
        path = f"{path}/{region}-{self.random.randrange(10**12)}"
        if size:
            path += f"?size={size}"
        began, started = time.time(), time.perf_counter()
        end = await self._send_and_classify(region, method, service, path, body)
        seconds = time.perf_counter() - started
        self.samples.append(Sample(kind, end, began, seconds, path))

    async def _send_and_classify(self, region, method, service, path, body):
        try:
            caller = self.random.choice(self.callers[region])
            response = await caller.request(
                method,
                service,
                path,
                body=body,
                timeout=self._timeout,
                tries=self._tries,
            )
        except RequestNotRun:
            return "not_run"
        except AnswerLost:
            return "lost"
        except NoAnswer:
            return "cut"
        return "answered" if is_expected_response(response, path, body) else "wrong"


def get_client_address(address, number):
    """Return the address with its third byte replaced by ``number``."""
    first, second, _, last = address.split(".")
    return f"{first}.{second}.{number}.{last}"


def is_expected_response(response, path, body):
    """Return whether a response echoes the request and has the requested size."""
    bare, _, query = path.partition("?")
    head = f"{bare}?{query}\n{len(body)}\n".encode()
    size = int(query.removeprefix("size=")) if query else 0
    return (
        response.status == 200
        and response.body.startswith(head)
        and len(response.body) == max(len(head), size)
    )
