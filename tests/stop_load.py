"""Clients that connect and send without a pause while an instance stops."""

import collections
import itertools

import anyio

__all__ = ["send_until_stopped"]

CLIENTS = 32


async def send_until_stopped(host, port, head, stop):
    """Return a Counter of the first bytes of the responses, each on a new connection.

    Connections that are refused are not counted.

    :param head: the request's head as bytes, with ``%d`` for a number.
    :param stop: async function that begins the stop and returns once it is complete.
    """
    outcomes = collections.Counter()
    numbers = itertools.count(1)
    is_stopped = False

    async def send():
        while not is_stopped:
            try:
                stream = await anyio.connect_tcp(host, port)
            except OSError:
                await anyio.sleep(0.005)
                continue
            async with stream:
                try:
                    await stream.send(head % next(numbers))
                    received = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    received = b"no response"
            outcomes[received[:12]] += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(CLIENTS):
            tasks.start_soon(send)
        await anyio.sleep(0.5)
        await stop()
        is_stopped = True
    return outcomes
