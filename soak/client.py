"""A client that sends one request after the other and records the results."""

import os
import random
import socket

import anyio
import httpcore

from standins.body import Framing, make_body
from turmericrudder.http_client import TRANSPORT_ERRORS, make_timeout_extensions

from .environment import HOST
from .history import RequestResult

__all__ = ["Client"]

REQUEST_INTERVAL = (0.01, 0.08)  # seconds between requests
TIMEOUT = 4.0  # seconds
DEADLINE_MS = (1500, 3000)
SIZED_SHARE = 0.5  # of the requests ask for a body of some size
SIZES = ((100, 100_000), (300_000, 1_500_000))  # bytes
# Of each four clients, one reads slowly and one leaves within some responses.
BEHAVIOUR_COUNT = 4
SLOW_READER = 0
LEAVER = 1
SLOW_READ_PAUSE = 0.005  # seconds between reads
SLOW_READ_BUFFER_BYTES = 16 * 1024
LEAVE_SHARE = 0.2  # of the responses to a client that leaves


class Client:
    """One client; its connections are kept until a response is not complete.

    :param number: number of the client, which says how it behaves.
    :param request_numbers: iterator over the numbers of all clients' requests.
    """

    def __init__(self, number, seed, environment, history, request_numbers):
        self._environment = environment
        self._history = history
        self._number = number
        self._seed = seed
        self._numbers = request_numbers
        self._behaviour = number % BEHAVIOUR_COUNT
        self._is_stopped = False
        self._random = random.Random(f"{seed} {number}")
        # Of its own, so that the intervals of a seed do not depend on it.
        self._request_random = random.Random(f"{seed} {number} requests")

    def stop(self):
        """Send no further request."""
        self._is_stopped = True

    async def run(self):
        """Send requests over one connection until no complete response arrives.

        Then continue over a new connection to a gateway chosen at random.
        """
        rng = self._random
        gateway = self._number % len(self._environment.gateways)
        while not self._is_stopped:
            async with self._make_pool() as pool:
                while not self._is_stopped and await self._send_request(pool, gateway):
                    await anyio.sleep(rng.uniform(*REQUEST_INTERVAL))
            gateway = rng.randrange(len(self._environment.gateways))
            await anyio.sleep(rng.uniform(*REQUEST_INTERVAL))

    async def wait_until_serving(self, gateway):
        """Send requests to a gateway until a complete response arrives."""
        async with self._make_pool() as pool:
            while not await self._send_request(pool, gateway):
                await anyio.sleep(0.05)

    def _make_pool(self):
        options = None
        if self._behaviour == SLOW_READER:
            options = [(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BUFFER_BYTES)]
        return httpcore.AsyncConnectionPool(max_connections=1, socket_options=options)

    async def _send_request(self, pool, gateway):
        """Send one request and return whether a complete response arrived."""
        number = next(self._numbers)
        is_idempotent = number % 2 == 0
        attempt_id = f"s{self._seed}n{number}"
        path = "/read/x" if is_idempotent else "/write/x"
        size, query = self._draw_size()
        content = b"" if is_idempotent else b"body"
        body = make_body(path.encode(), attempt_id.encode(), len(content), size)
        headers = {
            "Host": "h",
            "X-Attempt-Id": attempt_id,
            "X-Affinity-Key": str(number % 20),
            "X-Deadline-Ms": str(self._request_random.randint(*DEADLINE_MS)),
        }
        port = self._environment.get_client_port(gateway)
        leave_size = self._draw_leave_size(len(body))
        status, received = None, b""
        try:
            async with pool.stream(
                "GET" if is_idempotent else "POST",
                f"http://{HOST}:{port}{path}{query}",
                headers=headers,
                content=content,
                extensions=make_timeout_extensions(TIMEOUT),
            ) as response:
                received = await self._read(response, leave_size)
                if received is not None:
                    status = response.status
        except TRANSPORT_ERRORS:
            pass
        start = make_body(path.encode(), attempt_id.encode(), len(content))
        self._history.record(
            RequestResult(
                attempt_id,
                is_idempotent,
                status,
                has_expected_body=bool(received) and received.startswith(start),
                end_time=anyio.current_time(),
                defect=_find_defect(received, body),
                has_left=received is None,
            )
        )
        return status is not None

    def _draw_size(self):
        """Return the size of the body to ask for, 0 for a short one, and the query."""
        rng = self._request_random
        if rng.random() >= SIZED_SHARE:
            return 0, ""
        size = rng.randint(*rng.choice(SIZES))
        return size, f"?size={size}&framing={rng.choice(list(Framing)).value}"

    def _draw_leave_size(self, size):
        """Return after how many bytes to leave, ``None`` to stay."""
        rng = self._request_random
        if self._behaviour != LEAVER or rng.random() >= LEAVE_SHARE:
            return None
        return rng.randrange(size)

    async def _read(self, response, leave_size):
        """Return the body, or ``None`` after leaving."""
        chunks, size = [], 0
        async for chunk in response.aiter_stream():
            chunks.append(chunk)
            size += len(chunk)
            if leave_size is not None and size > leave_size:
                return None
            if self._behaviour == SLOW_READER:
                await anyio.sleep(SLOW_READ_PAUSE)
        return b"".join(chunks)


def _find_defect(received, body):
    """Return how a received body differs from the whole one, ``""`` if it does not."""
    if received is None or received == body:
        return ""
    common = len(os.path.commonprefix([received, body]))
    return f"{len(received)} bytes, {len(body)} wanted, the first {common} equal"
