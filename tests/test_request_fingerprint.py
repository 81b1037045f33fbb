"""The digest by which a request that ends targets is recognised."""

import random
from types import SimpleNamespace

import anyio
import pytest

from turmericrudder.gateway.body_reader import MAX_BUFFERED_BODY_BYTES, BodyReader
from turmericrudder.gateway.client_request import ClientRequest

BODY_BYTES = 4 * MAX_BUFFERED_BODY_BYTES
LIMITS = SimpleNamespace(body_bytes=BODY_BYTES)
SIZES = [0, 1, 100_000, *(MAX_BUFFERED_BODY_BYTES + n for n in (-1, 0, 1)), 900_000]


def make_body(size, seed=1):
    return random.Random(seed).randbytes(size)


async def get_fingerprint(body, is_chunked, pieces):
    """Return the fingerprint of a request whose body arrives in pieces.

    :param pieces: sizes of the pieces; the rest of the body follows in one.
    """
    headers = [(b"host", b"h")]
    if not is_chunked:
        headers.append((b"content-length", b"%d" % len(body)))
    messages, position = [], 0
    for size in pieces:
        messages.append(body[position : position + size])
        position += size
    messages.append(body[position:])

    async def receive():
        return {"body": messages.pop(0), "more_body": bool(messages), "type": ""}

    expires = anyio.current_time() + 9
    request = ClientRequest(
        "POST", b"/u", headers, b"id", None, None, "s", 0.0, expires, expires, None
    )
    await BodyReader({"headers": headers}, receive, LIMITS).read(request)
    return request.get_fingerprint()


@pytest.mark.anyio
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", SIZES)
async def test_fingerprint_does_not_depend_on_how_the_body_arrived(size, is_chunked):
    rng, body = random.Random(size), make_body(size)
    fingerprints = {await get_fingerprint(body, is_chunked, [])}
    for piece in (1460, 29_200, 65_536, MAX_BUFFERED_BODY_BYTES):
        pieces = [rng.randint(1, piece) for _ in range(2 * size // piece)]
        fingerprints.add(await get_fingerprint(body, is_chunked, pieces))
    assert len(fingerprints) == 1


@pytest.mark.anyio
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
async def test_bodies_that_differ_have_fingerprints_that_differ(is_chunked):
    bodies = [make_body(size) for size in SIZES[:4]] + [make_body(900_000, 2)]
    fingerprints = {await get_fingerprint(body, is_chunked, []) for body in bodies}
    assert len(fingerprints) == len(bodies)
