"""Baseline load-balancing policies, for comparison.

Each balancer is independent of all others and sends directly to the targets.
Its latencies lack the hop over an entry instance, which favors the baseline.
"""

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
RETRIES = 2  # attempts after the first
REPORT_INTERVAL = 1.0  # seconds


class Balancer:
    """Sends requests to targets chosen by one policy, with retries.

    It has the methods of :class:`Caller` that load generators use.

    :param policy: one of :data:`POLICIES`; ``least_of_two`` takes the less
        loaded of two random targets.
    :param addresses: addresses (``IP:PORT``) of the targets.
    """

    def __init__(self, policy, addresses, seed):
        self._policy = policy
        self._addresses = list(addresses)
        self._random = random.Random(seed)
        self._random.shuffle(self._addresses)
        self._next_index = itertools.count()
        self._connection_pool = ConnectionPool()
        self._reported_in_flight = dict.fromkeys(self._addresses, 0)

    async def aclose(self):
        """Close all connections."""
        await self._connection_pool.aclose()

    async def poll_reports(self):
        """Read the load reports of all targets periodically, until cancelled."""
        while True:
            for address in self._addresses:
                result = await self._send_attempt(address, "GET", "/load", b"", 1.0)
                if isinstance(result, CallerAnswer):
                    report = msgspec.json.decode(result.body)
                    self._reported_in_flight[address] = report["in_flight"]
            await anyio.sleep(REPORT_INTERVAL)

    async def request(self, method, service, path, *, body=b"", timeout=10.0, tries=0):
        """Send a request as :meth:`Caller.request` does; ``tries`` has no effect."""
        expires = anyio.current_time() + timeout
        for _ in range(1 + RETRIES):
            remaining = expires - anyio.current_time()
            if remaining <= 0:
                break
            result = await self._send_attempt(
                self._choose_target(), method, path, body, remaining
            )
            if isinstance(result, CallerAnswer):
                if result.status not in SHED_STATUSES:
                    return result
                result = RequestNotRun("shed")
        raise result

    def _choose_target(self):
        match self._policy:
            case "round_robin":
                return self._addresses[next(self._next_index) % len(self._addresses)]
            case "random":
                return self._random.choice(self._addresses)
        return min(
            self._random.sample(self._addresses, 2), key=self._reported_in_flight.get
        )

    async def _send_attempt(self, address, method, path, body, remaining):
        headers = [(b"Content-Length", str(len(body)).encode())]
        try:
            with anyio.fail_after(remaining):
                response, connection = await self._connection_pool.send_request(
                    address,
                    method,
                    path.encode(),
                    headers,
                    _iter_body(body),
                    (remaining, remaining),
                )
                if isinstance(response, NotSent):
                    return RequestNotRun(response.reason)
                if not isinstance(response, Response):
                    return NoAnswer(response.reason)
                chunks = [chunk async for chunk in response.iter_chunks()]
                await response.aclose()
                await self._connection_pool.release(address, connection)
        except (TimeoutError, UpstreamCut) as exc:
            return NoAnswer(repr(exc))
        return CallerAnswer(
            response.status, response.headers, b"".join(chunks), address, 1
        )


async def _iter_body(body):
    yield body
