"""Framing that is odd or that a peer does not understand, through a gateway."""

import re
from functools import partial

import pytest

from .raw_peers import connect, make_body, serve

pytestmark = pytest.mark.anyio

BASE = 29250  # first port of this module's rig
LONG = make_body(300_000)  # is not buffered
CODED = b"\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
OK = b"Content-Length: 2\r\n\r\nok"
FIVE = b"Content-Length: 5"
TE = b"Transfer-Encoding: "
# Name -> (method, version and request after its head, status and bytes of the response
# after its head, status, Content-Length and body that the client gets).
CASES = {
    "unknown length for 1.0": ("GET", "1.0", b"", 200, b"\r\n" + LONG, 502, 0, b""),
    "length for 1.0": (
        *("GET", "1.0", b"", 200, b"Content-Length: 300000\r\n\r\n" + LONG),
        *(200, 300000, LONG),
    ),
    "chunked for 1.0": ("GET", "1.0", b"", 200, TE + b"chunked" + CODED, 200, 5, None),
    "HEAD with length": ("HEAD", "1.1", b"", 200, FIVE + b"\r\n\r\n", 200, 5, b""),
    "HEAD with body": ("HEAD", "1.1", b"", 200, FIVE + b"\r\n\r\nhello", 200, 5, b""),
    "HEAD without length": ("HEAD", "1.1", b"", 200, b"\r\n", 200, None, b""),
    "204 with body": ("GET", "1.1", b"", 204, FIVE + b"\r\n\r\nhello", 204, None, b""),
    "304 with body": ("GET", "1.1", b"", 304, FIVE + b"\r\n\r\nhello", 304, None, b""),
    "status 600": ("GET", "1.1", b"", 600, OK, 502, 0, b""),
    "status 999": ("GET", "1.1", b"", 999, OK, 502, 0, b""),
    "excess": ("GET", "1.1", b"", 200, FIVE + b"\r\n\r\nhello, more", 200, 5, b"hello"),
    **{
        f"response {name}": ("GET", "1.1", b"", 200, lines + CODED, 502, 0, b"")
        for name, lines in {
            "gzip, chunked": TE + b"gzip, chunked",
            "two lines": TE + b"gzip\r\n" + TE + b"chunked",
            "chunked twice": TE + b"chunked, chunked",
            "chunked, gzip": TE + b"chunked, gzip",
            "identity": TE + b"identity",
            "no encoding": TE,
            "length and chunked": FIVE + b"\r\n" + TE + b"chunked",
            "chunked and length": TE + b"chunked\r\n" + FIVE,
            "same lengths": FIVE + b"\r\n" + FIVE,
            "two lengths": FIVE + b"\r\nContent-Length: 6",
            "list of lengths": FIVE + b", 5",
            "signed length": b"Content-Length: +5",
            "no length": b"Content-Length: ",
            "long length": b"Content-Length: 99999999999999999999",
        }.items()
    },
    **{
        f"request {name}": ("POST", "1.1", lines + CODED, 200, OK, 400, 0, b"")
        for name, lines in {
            "gzip, chunked": TE + b"gzip, chunked",
            "two lines": TE + b"gzip\r\n" + TE + b"chunked",
            "chunked twice": TE + b"chunked, chunked",
            "identity": TE + b"identity",
            "length and chunked": FIVE + b"\r\n" + TE + b"chunked",
            "same lengths": FIVE + b"\r\n" + FIVE,
            "list of lengths": FIVE + b", 5",
        }.items()
    },
}
NAMES = list(CASES)


async def respond(case, target, number, start, head, reader, writer):
    status, response = case[3:5]
    line = b"HTTP/1.1" + start.replace(b"200", b"%d" % status)
    writer.write(line + response[: len(response) // 2])
    await writer.drain()
    # The head and all that is buffered arrive before the end.
    await reader.read(1) if head.startswith(b"POST") else None
    writer.write(response[len(response) // 2 :])
    await writer.drain()
    if b"\r\n\r\n" not in response:
        return
    await reader.read()


@pytest.fixture(scope="module")
async def target(module_rig):
    handlers = [partial(respond, case) for case in CASES.values()]
    async with serve(module_rig, handlers) as target:
        yield target


@pytest.mark.parametrize("name", NAMES, ids=lambda name: name.replace(" ", "-"))
async def test_odd_framing_makes_no_body_that_is_not_the_peers(
    module_rig, target, name
):
    method, version, request, _, _, status, length, body = CASES[name]
    number = NAMES.index(name)
    lines, _, request_body = request.partition(b"\r\n\r\n")
    lines = b"Connection: close\r\n" + (lines + b"\r\n" if lines else b"")
    async with connect(target, number, lines, 4000, method, version, request_body) as (
        reader,
        _,
    ):
        received = await reader.read()
    head, _, received_body = received.partition(b"\r\n\r\n")
    assert int(head.split()[1]) == status
    lengths = re.findall(rb"\ncontent-length: *(\d+)", head.lower())
    assert lengths == ([] if length is None else [b"%d" % length])
    assert b"transfer-encoding" not in head
    assert received_body == (b"hello" if body is None else body)
    if status == 400:
        assert number not in target.numbers
