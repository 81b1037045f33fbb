"""Sending of requests with look-ups, failover and operation keys."""

import random
import secrets
from dataclasses import dataclass

import anyio
import msgspec

from ..errors import UpstreamCut
from ..forwarding.connection_pool import ConnectionPool
from ..forwarding.headers import VERDICT_HEADER
from ..forwarding.response import NoResponse, NotSent, Response
from ..headers import get_header
from ..lookup import LookupResponse
from ..units import MS_PER_SECOND
from .answer import CallerAnswer
from .errors import AnswerLost, NoAnswer, RequestNotRun

__all__ = ["Caller"]

LOOKUP_TIMEOUT = 1.0  # seconds
KEY_RANDOM_BYTES = 12
ROUND_DELAY = 0.1  # seconds between rounds over all entry instances
DELAY_JITTER = (0.5, 1.0)  # range of the random factor on a delay
# A round ends after these, since an entry instance asks its peers before it rejects a
# request.
MAX_REJECTIONS_PER_ROUND = 2
KEY_INVALID_STATUS = 428  # the text is no key, so nothing can have run with it
MIN_TIMEOUT = 0.001  # seconds; timeout of an attempt just before the deadline


class Caller:
    """Sends requests to the entry instances that a look-up returns."""

    def __init__(self, entries, local_address=None):
        """Create a caller without connecting.

        :param entries: ``IP:PORT`` of entry instances to send look-ups to.
        :param local_address: IP address to send from.
        """
        self._entries = list(entries)
        self._lookups = {}  # {service: (look-up response, monotonic expiry time)}
        self._connection_pool = ConnectionPool(local_address)

    async def aclose(self):
        """Close all connections."""
        await self._connection_pool.aclose()

    async def look_up(self, service):
        """Return the :class:`LookupResponse` for a service, cached for its TTL.

        While no entry instance responds, an expired one is returned.

        :raises RequestNotRun: if no entry instance responds and none is cached.
        """
        cached, expires = self._lookups.get(service, (None, 0.0))
        if cached is not None and anyio.current_time() < expires:
            return cached
        fresh = await self._look_up(service, cached)
        if fresh is not None:
            self._lookups[service] = (fresh, anyio.current_time() + fresh.ttl)
        elif cached is None:
            raise RequestNotRun("no entry instance responded to the look-up")
        return fresh or cached

    async def request(
        self, method, service, path, *, body=b"", headers=(), timeout=10.0, tries=0
    ):
        """Send a request that may run more than once.

        :param headers: (name, value) pairs of bytes.
        :param timeout: seconds until the complete response must have arrived.
        :param tries: maximum number of attempts, 0 for no limit but the timeout.
        :returns: :class:`CallerAnswer`.
        :raises RequestNotRun: if no attempt ran, or the request is invalid.
        :raises AnswerLost: if an attempt ran and its response was lost.
        :raises NoAnswer: if an attempt may have run and no complete response arrived.
        """
        call = _Call(method, service, path, body, list(headers), timeout, tries)
        return await self._send_with_retries(call, "")

    async def operate(
        self, method, service, path, *, body=b"", headers=(), timeout=10.0, key=""
    ):
        """Send a request that runs at most once.

        :param headers: (name, value) pairs of bytes.
        :param timeout: seconds until the complete response must have arrived.
        :param key: operation key of an earlier call, to get that call's outcome.
        :returns: :class:`CallerAnswer`.
        :raises RequestNotRun: if the request did not run and never will.
        :raises AnswerLost: if the request ran and its response was lost.
        :raises NoAnswer: if the request may have run; call again with the ``key``
            of the error.
        """
        call = _Call(method, service, path, body, list(headers), timeout, 0)
        if not key:
            return await self._send_with_retries(call, await self.make_key(service))
        try:
            await self.look_up(service)
        except RequestNotRun as exc:
            raise NoAnswer(exc.reason, key) from None
        return await self._send_with_retries(call, key, may_have_run=True)

    async def make_key(self, service):
        """Return a new operation key.

        :raises RequestNotRun: if no entry instance issues keys or responds.
        """
        lookup = await self.look_up(service)
        if not lookup.key_prefix:
            raise RequestNotRun("no operation keys are issued now")
        return f"{lookup.key_prefix}.{secrets.token_hex(KEY_RANDOM_BYTES)}"

    async def _look_up(self, service, cached):
        """Return the first response with status 200, ``None`` without one."""
        known_entries = [entry.address for entry in cached.entries] if cached else []
        for address in dict.fromkeys([*known_entries, *self._entries]):
            path = b"/lookup?service=" + service.encode()
            response = await self._send(address, "GET", path, [], b"", LOOKUP_TIMEOUT)
            if isinstance(response, _CompleteResponse) and response.status == 200:
                return msgspec.json.decode(response.body, type=LookupResponse)
        return None

    async def _send_with_retries(self, call, key, may_have_run=False):
        """Send to one entry instance after another until a final outcome or timeout.

        :param may_have_run: whether an earlier call with the key may have run.
        """
        reason = "timeout"
        while call.get_remaining_time() > 0:
            lookup = await self.look_up(call.service)
            delays, rejections = [ROUND_DELAY], 0
            for entry in lookup.entries:
                if call.get_remaining_time() <= 0:
                    break
                outcome = await self._attempt(call, entry.address, key)
                match outcome:
                    case CallerAnswer():
                        return outcome
                    case AnswerLost():
                        raise outcome
                    case RequestNotRun() if may_have_run and _is_bad_request(outcome):
                        # Only this attempt did not run.
                        raise NoAnswer(outcome.reason, key, outcome.status)
                    case RequestNotRun() if key or _is_bad_request(outcome):
                        # The key is void, and only the user of this class may
                        # choose another. A bad request is rejected everywhere.
                        raise outcome
                    case RequestNotRun():
                        reason = outcome.reason
                        delays.append(outcome.retry_after)
                        rejections += outcome.retry_after > 0
                        if rejections == MAX_REJECTIONS_PER_ROUND:
                            break
                    case NoAnswer():
                        reason = outcome.reason
                        may_have_run = True
            if call.get_remaining_time() > 0:
                await anyio.sleep(max(delays) * random.uniform(*DELAY_JITTER))
        if may_have_run or key:
            raise NoAnswer(reason, key)
        raise RequestNotRun(reason)

    async def _attempt(self, call, address, key):
        """Send once; return a ``CallerAnswer``, or an error without raising it."""
        timeout = max(MIN_TIMEOUT, call.get_remaining_time())
        call.attempts += 1
        deadline_ms = str(int(timeout * MS_PER_SECOND)).encode()
        headers = [*call.headers, (b"Turmericrudder-Deadline-Ms", deadline_ms)]
        if key:
            headers.append((b"Idempotency-Key", key.encode()))
        path = f"/{call.service}{call.path}".encode()
        response = await self._send(
            address, call.method, path, headers, call.body, timeout
        )
        match response:
            case _CompleteResponse():
                return _get_outcome(response, address, call.attempts, key)
            case NotSent(reason) if not key:
                return RequestNotRun(reason)
            case NotSent(reason) | NoResponse(reason):
                # An earlier attempt with this key may still be in flight.
                return NoAnswer(reason, key)

    async def _send(self, address, method, path, headers, body, timeout):
        """Return ``_CompleteResponse``, ``NotSent`` or ``NoResponse``."""
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        try:
            with anyio.fail_after(timeout):
                response, connection = await self._connection_pool.send_request(
                    address, method, path, headers, _iter_body(body), (timeout, timeout)
                )
                if not isinstance(response, Response):
                    return response
                chunks = [chunk async for chunk in response.iter_chunks()]
                await response.aclose()
                await self._connection_pool.release(address, connection)
                return _CompleteResponse(
                    response.status, response.headers, b"".join(chunks)
                )
        except (TimeoutError, UpstreamCut) as exc:
            return NoResponse(type(exc).__name__)


@dataclass(frozen=True, slots=True)
class _CompleteResponse:
    """A response of an entry instance, read to its end."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class _Call:
    """One call with its deadline and the number of attempts made."""

    __slots__ = (
        "_expires",
        "_max_attempts",
        "attempts",
        "body",
        "headers",
        "method",
        "path",
        "service",
    )

    def __init__(self, method, service, path, body, headers, timeout, max_attempts):
        self.method = method
        self.service = service
        self.path = path
        self.body = body
        self.headers = headers
        self.attempts = 0
        self._max_attempts = max_attempts
        self._expires = anyio.current_time() + timeout

    def get_remaining_time(self):
        """Return the seconds to the deadline, 0 after the last allowed attempt."""
        if self._max_attempts and self.attempts >= self._max_attempts:
            return 0.0
        return self._expires - anyio.current_time()


def _is_bad_request(error):
    """Return whether a rejection is for the request as such, not for its key."""
    return 400 <= error.status < 500 and error.status != KEY_INVALID_STATUS


def _get_outcome(response, address, attempts, key):
    """Return the response as ``CallerAnswer``, or the error for its verdict."""
    reason = response.body.decode("latin-1")
    match get_header(response.headers, VERDICT_HEADER):
        case None:
            return CallerAnswer(
                response.status, response.headers, response.body, address, attempts
            )
        case b"not_run":
            retry_after = float(get_header(response.headers, b"retry-after") or 0)
            return RequestNotRun(reason, key, response.status, retry_after)
        case b"ran":
            return AnswerLost(reason, key, response.status)
    return NoAnswer(reason, key, response.status)


async def _iter_body(body):
    yield body
