"""Closed and open load on entry instances, one sample for each request."""

import random
import time

import anyio

from turmericrudder.caller import AnswerLost, Caller, NoAnswer, RequestNotRun

from .sample import Sample

__all__ = ["Load"]

TIMEOUT = 30.0  # seconds
CLIENTS_PER_REGION = 8
READERS = 4  # loops of short reads in each region


class Load:
    """Sends requests as clients of the regions and notes how they end.

    Paths name the region and are never repeated, so that journals of the
    upstreams can be compared with what callers were told.
    """

    def __init__(self, scenario, entries, seed, tries=0, timeout=TIMEOUT):
        """Prepare callers, one a region.

        :param entries: callers' addresses of entry instances.
        :param tries: requests to send at most for each sample, 0 for any.
        """
        self.scenario = scenario
        self.random = random.Random(seed)
        self.samples = []
        self._tries = tries
        self._timeout = timeout
        self._stopped = False
        self.callers = {
            region: [
                Caller(entries, local_address=get_client(client, number))
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
        """Let the loops end after their current request."""
        self._stopped = True

    def get_samples(self, kind, end=None):
        """Return the samples of a kind, and of an end if given."""
        return [s for s in self.samples if s.kind == kind and end in (None, s.end)]

    async def read_once(self, region):
        """Read one short thing and check that the answer is its own."""
        await self._send("read", region, "GET", self.scenario.read)

    async def view_once(self, region):
        """Read one short thing of the service that also runs long work."""
        await self._send("view", region, "GET", self.scenario.upload)

    async def upload_once(self, region, size):
        """Upload ``size`` bytes and check that all arrived."""
        await self._send("upload", region, "PUT", self.scenario.upload, b"p" * size)

    async def pull_once(self, region, size):
        """Pull a long answer of ``size`` bytes."""
        await self._send("pull", region, "GET", self.scenario.pull, size=size)

    async def book_once(self, region, timeout=10.0):
        """Run one operation under a key, asking again while it is unknown."""
        service, path = self.scenario.book
        caller = self.random.choice(self.callers[region])
        began, clock = time.time(), time.perf_counter()
        key = ""
        try:
            key = await caller.make_key(service)
            await caller.operate(
                "POST", service, path + "/1", body=b"{}", key=key, timeout=timeout
            )
            end = "answered"
        except NoAnswer as exc:
            end = exc.verdict.value
        seconds = time.perf_counter() - clock
        self.samples.append(Sample("book", end, began, seconds, key=key))

    async def loop(self, once, *arguments, pause=0.0):
        """Repeat a request until :meth:`stop`."""
        while not self._stopped:
            await once(*arguments)
            if pause:
                await anyio.sleep(pause)

    def start_mixed(self, tasks, upload_bytes, pull_bytes):
        """Start loops of all kinds of work from every region."""
        for region in self.callers:
            for _ in range(READERS):
                tasks.start_soon(self.loop, self.read_once, region)
            tasks.start_soon(self.loop, self.book_once, region)
            tasks.start_soon(self.loop, self.upload_once, region, upload_bytes)
            tasks.start_soon(self.loop, self.pull_once, region, pull_bytes)

    async def arrive(self, rate, seconds, once, *arguments):
        """Send requests as they would arrive, whether earlier ones ended or not.

        :param rate: requests a second, at random times.
        """
        end = anyio.current_time() + seconds
        due = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            while due < end and not self._stopped:
                due += self.random.expovariate(rate)
                await anyio.sleep(max(0.0, due - anyio.current_time()))
                tasks.start_soon(once, *arguments)

    async def _send(self, kind, region, method, place, body=b"", size=0):
        service, path = place
        path = f"{path}/{region}-{self.random.randrange(10**12)}"
        if size:
            path += f"?size={size}"
        began, clock = time.time(), time.perf_counter()
        end = await self._get_end(region, method, service, path, body)
        seconds = time.perf_counter() - clock
        self.samples.append(Sample(kind, end, began, seconds, path))

    async def _get_end(self, region, method, service, path, body):
        try:
            caller = self.random.choice(self.callers[region])
            answer = await caller.request(
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
        return "answered" if is_own(answer, path, body) else "wrong"


def get_client(address, number):
    """Return the address of another client in another part of the same block."""
    first, second, _, last = address.split(".")
    return f"{first}.{second}.{number}.{last}"


def is_own(answer, path, body):
    """Return whether the answer repeats this request, at its whole length."""
    bare, _, query = path.partition("?")
    head = f"{bare}?{query}\n{len(body)}\n".encode()
    size = int(query.removeprefix("size=")) if query else 0
    return (
        answer.status == 200
        and answer.body.startswith(head)
        and len(answer.body) == max(len(head), size)
    )
