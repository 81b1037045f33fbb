"""Baseline policies: balancers that know nothing of each other.

They send straight to the upstreams, without the hop over an entry instance,
so their latency is measured at an advantage."""

import itertools
import random

import anyio
import msgspec

from turmericrudder.caller import CallerAnswer, NoAnswer, RequestNotRun
from turmericrudder.errors import UpstreamCut
from turmericrudder.forwarding import ConnectionPool, NotSent, Response

__all__ = ["POLICIES", "Balancer"]

POLICIES = ("round_robin", "random", "least_of_two")
SHED_STATUSES = (429, 503)
RETRIES = 2
REPORT_PERIOD = 1.0  # seconds


class Balancer:
    """Sends requests to targets by one policy, with retries."""

    def __init__(self, policy, addresses, seed):
        self._policy = policy
        self._addresses = list(addresses)
        self._random = random.Random(seed)
        self._random.shuffle(self._addresses)
        self._turn = itertools.count()
        self._links = ConnectionPool()
        self._reports = dict.fromkeys(self._addresses, 0)

    async def aclose(self):
        """Close all connections."""
        await self._links.aclose()

    async def poll_reports(self):
        """Read the load reports until cancelled."""
        while True:
            for address in self._addresses:
                result = await self._exchange(address, "GET", "/load", b"", 1.0)
                if isinstance(result, CallerAnswer):
                    report = msgspec.json.decode(result.body)
                    self._reports[address] = report["in_flight"]
            await anyio.sleep(REPORT_PERIOD)

    async def request(self, method, service, path, *, body=b"", timeout=10.0, tries=0):
        """Send a request like :meth:`Caller.request`."""
        expires = anyio.current_time() + timeout
        for _ in range(1 + RETRIES):
            left = expires - anyio.current_time()
            if left <= 0:
                break
            result = await self._exchange(self._choose(), method, path, body, left)
            if isinstance(result, CallerAnswer):
                if result.status not in SHED_STATUSES:
                    return result
                result = RequestNotRun("shed")
        raise result

    def _choose(self):
        match self._policy:
            case "round_robin":
                return self._addresses[next(self._turn) % len(self._addresses)]
            case "random":
                return self._random.choice(self._addresses)
        return min(self._random.sample(self._addresses, 2), key=self._reports.get)

    async def _exchange(self, address, method, path, body, left):
        headers = [(b"Content-Length", str(len(body)).encode())]
        try:
            with anyio.fail_after(left):
                response, link = await self._links.send_request(
                    address, method, path.encode(), headers, _iter(body), (left, left)
                )
                if isinstance(response, NotSent):
                    return RequestNotRun(response.reason)
                if not isinstance(response, Response):
                    return NoAnswer(response.reason)
                chunks = [chunk async for chunk in response.iter_chunks()]
                await response.aclose()
                await self._links.release(address, link)
        except (TimeoutError, UpstreamCut) as exc:
            return NoAnswer(repr(exc))
        return CallerAnswer(
            response.status, response.headers, b"".join(chunks), address, 1
        )


async def _iter(body):
    yield body
