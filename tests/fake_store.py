"""A store at the client's interface: in memory, with faults on demand."""

import anyio

from turmericrudder.errors import StoreUnavailable, ValueTooLarge, VersionConflict

MAX_VALUE_BYTES = 1_000_000


class FakeStore:
    """Keys with versions; ``outage`` and ``lose_answers`` are the faults."""

    def __init__(self):
        self.keys = {}
        self.outage = False
        self.lose_answers = 0
        self.before_put = None

    async def get(self, key):
        await anyio.lowlevel.checkpoint()
        if self.outage:
            raise StoreUnavailable("outage")
        return self.keys.get(key, (None, 0))

    async def put(self, key, value, version):
        await anyio.lowlevel.checkpoint()
        if self.outage:
            raise StoreUnavailable("outage")
        if self.before_put is not None:
            await self.before_put(key)
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(key)
        if self.keys.get(key, (None, 0))[1] != version:
            raise VersionConflict(key)
        self.keys[key] = (value, version + 1)
        if self.lose_answers and key.endswith("/head"):
            self.lose_answers -= 1
            raise StoreUnavailable("answer lost")
        return version + 1
