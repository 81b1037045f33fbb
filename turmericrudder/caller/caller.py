"""The caller's side of look-ups, fail-over and operation keys."""

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
PART_BYTES = 12
PAUSE = 0.1  # seconds between rounds over all entries
JITTER = (0.5, 1.0)
# An entry instance that refuses has asked its peers already.
REFUSALS_PER_ROUND = 2
MIN_LEFT = 0.001  # seconds


class Caller:
    """Sends requests to the entry instances that a look-up names."""

    def __init__(self, entries, local_address=None):
        """Prepare without connecting.

        :param entries: ``IP:PORT`` of entry instances to ask for look-ups.
        :param local_address: IP number to send from.
        """
        self._entries = list(entries)
        self._answers = {}
        self._links = ConnectionPool(local_address)

    async def aclose(self):
        """Close all connections."""
        await self._links.aclose()

    async def look_up(self, service):
        """Return the :class:`LookupResponse` for a service, cached for its ttl.

        :raises NoAnswer: if no entry instance answers.
        """
        answer, expires = self._answers.get(service, (None, 0.0))
        if answer is not None and anyio.current_time() < expires:
            return answer
        fresh = await self._look_up(service, answer)
        if fresh is not None:
            self._answers[service] = (fresh, anyio.current_time() + fresh.ttl)
        elif answer is None:
            raise RequestNotRun("no entry instance answers look-ups")
        return fresh or answer

    async def request(
        self, method, service, path, *, body=b"", headers=(), timeout=10.0, tries=0
    ):
        """Send a request that may be sent again after an unknown end.

        :param headers: pairs of bytes.
        :param timeout: seconds until the answer must be whole.
        :param tries: how often to send at most, 0 for as often as time allows.
        :raises RequestNotRun: if it did not run before the timeout.
        :raises NoAnswer: if it stays unknown.
        """
        call = _Call(method, service, path, body, list(headers), timeout, tries)
        return await self._repeat(call, "")

    async def operate(
        self, method, service, path, *, body=b"", headers=(), timeout=10.0, key=""
    ):
        """Send a request that runs at most once.

        :param key: operation key of an earlier try, to ask how it ended.
        :raises RequestNotRun: if it did not run and never will.
        :raises AnswerLost: if it ran, and only its answer is lost.
        :raises NoAnswer: if it may have run; ask again with its ``key``.
        """
        call = _Call(method, service, path, body, list(headers), timeout, 0)
        return await self._repeat(call, key or await self.make_key(service))

    async def make_key(self, service):
        """Return a new operation key.

        :raises RequestNotRun: if no prefix is to be had.
        """
        answer = await self.look_up(service)
        if not answer.key_prefix:
            raise RequestNotRun("no operation keys are issued now")
        return f"{answer.key_prefix}.{secrets.token_hex(PART_BYTES)}"

    async def _look_up(self, service, known):
        known_entries = [entry.address for entry in known.entries] if known else []
        for address in dict.fromkeys([*known_entries, *self._entries]):
            target = b"/lookup?service=" + service.encode()
            read = await self._exchange(address, "GET", target, [], b"", LOOKUP_TIMEOUT)
            if isinstance(read, _Read) and read.status == 200:
                return msgspec.json.decode(read.body, type=LookupResponse)
        return None

    async def _repeat(self, call, key):
        """Try entry after entry until an answer, a verdict or the timeout."""
        may_have_run = False
        reason = "timeout"
        while call.get_left() > 0:
            answer = await self.look_up(call.service)
            retry_after, refusals = [PAUSE], 0
            for entry in answer.entries:
                if call.get_left() <= 0:
                    break
                ended = await self._try(call, entry.address, key)
                match ended:
                    case CallerAnswer():
                        return ended
                    case AnswerLost():
                        raise ended
                    case RequestNotRun() if key or _is_bad_request(ended):
                        # The key is void, and only its holder may choose
                        # another; a bad request is bad everywhere.
                        raise ended
                    case RequestNotRun():
                        reason = ended.reason
                        retry_after.append(ended.retry_after)
                        refusals += ended.retry_after > 0
                        if refusals == REFUSALS_PER_ROUND:
                            break
                    case NoAnswer():
                        reason = ended.reason
                        may_have_run = True
            if call.get_left() > 0:
                await anyio.sleep(max(retry_after) * random.uniform(*JITTER))
        if may_have_run or key:
            raise NoAnswer(reason, key)
        raise RequestNotRun(reason)

    async def _try(self, call, address, key):
        left = max(MIN_LEFT, call.get_left())
        call.tries += 1
        deadline = str(int(left * MS_PER_SECOND)).encode()
        headers = [*call.headers, (b"Turmericrudder-Deadline-Ms", deadline)]
        if key:
            headers.append((b"Idempotency-Key", key.encode()))
        target = f"/{call.service}{call.path}".encode()
        read = await self._exchange(
            address, call.method, target, headers, call.body, left
        )
        match read:
            case _Read():
                return _judge(read, address, call.tries, key)
            case NotSent(reason) if not key:
                return RequestNotRun(reason)
            case NotSent(reason) | NoResponse(reason):
                # Under a key, an earlier try may still be on its way.
                return NoAnswer(reason, key)

    async def _exchange(self, address, method, target, headers, body, left):
        """Return :class:`_Read`, ``NotSent`` or ``NoResponse``."""
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        try:
            with anyio.fail_after(left):
                response, link = await self._links.send_request(
                    address, method, target, headers, _iter_body(body), (left, left)
                )
                if not isinstance(response, Response):
                    return response
                chunks = [chunk async for chunk in response.iter_chunks()]
                await response.aclose()
                await self._links.release(address, link)
                return _Read(response.status, response.headers, b"".join(chunks))
        except (TimeoutError, UpstreamCut) as exc:
            return NoResponse(type(exc).__name__)


@dataclass(frozen=True, slots=True)
class _Read:
    """An answer of an entry instance, read to its end."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class _Call:
    """One request of a caller with its deadline."""

    __slots__ = (
        "_expires",
        "_limit",
        "body",
        "headers",
        "method",
        "path",
        "service",
        "tries",
    )

    def __init__(self, method, service, path, body, headers, timeout, limit):
        self.method = method
        self.service = service
        self.path = path
        self.body = body
        self.headers = headers
        self.tries = 0
        self._limit = limit
        self._expires = anyio.current_time() + timeout

    def get_left(self):
        """Return the seconds left, none after the last allowed try."""
        if self._limit and self.tries >= self._limit:
            return 0.0
        return self._expires - anyio.current_time()


def _is_bad_request(ended):
    return 400 <= ended.status < 500


def _judge(read, address, tries, key):
    reason = read.body.decode("latin-1")
    match get_header(read.headers, VERDICT_HEADER):
        case None:
            return CallerAnswer(read.status, read.headers, read.body, address, tries)
        case b"not_run":
            retry_after = float(get_header(read.headers, b"retry-after") or 0)
            return RequestNotRun(reason, key, read.status, retry_after)
        case b"ran":
            return AnswerLost(reason, key, read.status)
    return NoAnswer(reason, key, read.status)


async def _iter_body(body):
    yield body
