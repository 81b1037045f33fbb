"""The caller's side of look-ups, fail-over and operation keys."""

import secrets

import anyio
import httpcore
import msgspec

from ..lookup import LookupAnswer
from ..verdict import Verdict
from .answer import CallerAnswer
from .errors import AnswerLost, NoAnswer, RequestNotRun

__all__ = ["Caller"]

CONNECT_TIMEOUT = 0.5  # seconds
LOOKUP_TIMEOUT = 1.0  # seconds
PART_BYTES = 12
PAUSE = 0.1  # seconds between rounds over all entries
MS_PER_SECOND = 1000

_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Caller:
    """Sends requests to the entry instances that a look-up names."""

    def __init__(self, entries, local_address=None):
        """Prepare without connecting.

        :param entries: ``IP:PORT`` of entry instances to ask for look-ups.
        :param local_address: IP number to send from.
        """
        self._entries = list(entries)
        self._answers = {}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000,
            max_keepalive_connections=64,
            keepalive_expiry=10.0,
            local_address=local_address,
        )

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()

    async def look_up(self, service):
        """Return the :class:`LookupAnswer` for a service, cached for its ttl.

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
        self, method, service, path, *, body=b"", headers=(), timeout=10.0
    ):
        """Send a request that may be sent again after an unknown end.

        :raises RequestNotRun: if it did not run before the timeout.
        :raises NoAnswer: if it stays unknown.
        """
        call = _Call(method, service, path, body, list(headers), timeout)
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
        call = _Call(method, service, path, body, list(headers), timeout)
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
            limits = dict.fromkeys(("connect", "read", "write", "pool"), LOOKUP_TIMEOUT)
            try:
                response = await self._pool.request(
                    "GET",
                    f"http://{address}/lookup?service={service}",
                    extensions={"timeout": limits},
                )
            except _FAILURES:
                continue
            if response.status == 200:
                return msgspec.json.decode(response.content, type=LookupAnswer)
        return None

    async def _repeat(self, call, key):
        """Try entry after entry until an answer, a verdict or the timeout."""
        may_have_run = False
        reason = "timeout"
        while call.get_left() > 0:
            answer = await self.look_up(call.service)
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
                    case NoAnswer():
                        reason = ended.reason
                        may_have_run = True
            await anyio.sleep(PAUSE)
        if may_have_run or key:
            raise NoAnswer(reason, key)
        raise RequestNotRun(reason)

    async def _try(self, call, address, key):
        call.tries += 1
        headers = list(call.headers)
        left = call.get_left()
        headers.append(("Turmericrudder-Deadline-Ms", str(int(left * MS_PER_SECOND))))
        if key:
            headers.append(("Idempotency-Key", key))
        limits = {"connect": CONNECT_TIMEOUT, "read": left, "write": left, "pool": left}
        try:
            response = await self._pool.request(
                call.method,
                f"http://{address}/{call.service}{call.path}",
                headers=headers,
                content=call.body,
                extensions={"timeout": limits},
            )
        except _NOT_SENT as exc:
            # Under a key, an earlier try may still be on its way.
            return NoAnswer(repr(exc), key) if key else RequestNotRun(repr(exc))
        except _FAILURES as exc:
            return NoAnswer(repr(exc), key)
        return _read(response, address, call.tries, key)


class _Call:
    """One request of a caller with its deadline."""

    __slots__ = (
        "_expires",
        "body",
        "headers",
        "method",
        "path",
        "service",
        "tries",
    )

    def __init__(self, method, service, path, body, headers, timeout):
        self.method = method
        self.service = service
        self.path = path
        self.body = body
        self.headers = headers
        self.tries = 0
        self._expires = anyio.current_time() + timeout

    def get_left(self):
        return self._expires - anyio.current_time()


def _is_bad_request(ended):
    return 400 <= ended.status < 500


def _read(response, address, tries, key):
    reason = response.content.decode("latin-1")
    verdict = ""
    for name, value in response.headers:
        if name.lower() == b"turmericrudder-verdict":
            verdict = value.decode("latin-1")
    if verdict == Verdict.NOT_RUN.value:
        return RequestNotRun(reason, key, response.status)
    if verdict == Verdict.RAN.value:
        return AnswerLost(reason, key, response.status)
    if verdict == Verdict.MAY_HAVE_RUN.value:
        return NoAnswer(reason, key, response.status)
    return CallerAnswer(
        response.status, response.headers, response.content, address, tries
    )
