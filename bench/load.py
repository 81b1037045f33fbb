"""Closed and open load on entry instances, with what became of each request."""

import random
import time
from collections import Counter

import anyio
from hdrh.histogram import HdrHistogram

from turmericrudder.caller import AnswerLost, Caller, NoAnswer, RequestNotRun

__all__ = ["Load"]

HIGHEST_US = 600_000_000
DIGITS = 3
US_PER_SECOND = 1_000_000


class Load:
    """Sends requests as clients of the regions and counts how they end."""

    def __init__(self, scenario, entries, seed):
        """Prepare callers, one a region.

        :param entries: callers' addresses of entry instances.
        """
        self.scenario = scenario
        self.random = random.Random(seed)
        self.ends = Counter()
        self.latencies = {}
        self.keys = {}
        self._stopped = False
        self.callers = {
            region: Caller(entries, local_address=client)
            for region, client in scenario.clients.items()
        }

    async def aclose(self):
        """Close all callers."""
        for caller in self.callers.values():
            await caller.aclose()

    def stop(self):
        """Let the loops end after their current request."""
        self._stopped = True

    def get_quantile_ms(self, kind, quantile):
        """Return a latency quantile in milliseconds, 0 if nothing was timed."""
        histogram = self.latencies.get(kind)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(quantile) / 1000

    async def read_once(self, region):
        """Read one short thing and check that the answer is its own."""
        service, path = self.scenario.read
        path = f"{path}/{self.random.randrange(10**9)}"
        await self._time("read", region, "GET", service, path, b"")

    async def upload_once(self, region, size):
        """Upload ``size`` bytes and check that all arrived."""
        service, path = self.scenario.upload
        path = f"{path}/{self.random.randrange(10**9)}"
        await self._time("upload", region, "PUT", service, path, b"p" * size)

    async def pull_once(self, region, size):
        """Pull a long answer of ``size`` bytes."""
        service, path = self.scenario.pull
        path = f"{path}/{self.random.randrange(10**9)}?size={size}"
        await self._time("pull", region, "GET", service, path, b"")

    async def book_once(self, region):
        """Run one operation under a key, asking again while it is unknown."""
        service, path = self.scenario.book
        caller = self.callers[region]
        began = time.perf_counter()
        key = ""
        try:
            key = await caller.make_key(service)
            await caller.operate("POST", service, path + "/1", body=b"{}", key=key)
            end = "answered"
        except NoAnswer as exc:
            end = exc.verdict.value
        self._note("book", end, time.perf_counter() - began)
        if key:
            self.keys[key] = end

    async def loop(self, once, *arguments, pause=0.0):
        """Repeat a request until :meth:`stop`."""
        while not self._stopped:
            await once(*arguments)
            if pause:
                await anyio.sleep(pause)

    async def _time(self, kind, region, method, service, path, body):
        began = time.perf_counter()
        end = await self._send(region, method, service, path, body)
        self._note(kind, end, time.perf_counter() - began)

    async def _send(self, region, method, service, path, body):
        try:
            answer = await self.callers[region].request(
                method, service, path, body=body, timeout=30.0
            )
        except RequestNotRun:
            return "not_run"
        except AnswerLost:
            return "lost"
        except NoAnswer:
            return "cut"
        return "answered" if _is_own(answer, path, body) else "wrong"

    def _note(self, kind, end, seconds):
        self.ends[kind, end] += 1
        if kind not in self.latencies:
            self.latencies[kind] = HdrHistogram(1, HIGHEST_US, DIGITS)
        self.latencies[kind].record_value(max(1, int(seconds * US_PER_SECOND)))


def _is_own(answer, path, body):
    """Return whether the answer repeats this request, at its whole length."""
    bare, _, query = path.partition("?")
    head = f"{bare}?{query}\n{len(body)}\n".encode()
    size = int(query.removeprefix("size=")) if query else 0
    length = max(len(head), size)
    return (
        answer.status == 200
        and answer.body.startswith(head)
        and len(answer.body) == length
    )
