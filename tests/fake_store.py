"""A store at the client's interface: in memory, with faults on demand."""

import anyio

from turmericrudder.errors import CompareFailed, StoreUnavailable, ValueTooLarge
from turmericrudder.platform import StoreEntry

MAX_VALUE_BYTES = 1_048_576


class FakeStore:
    """Keys with revisions; ``outage`` and ``lose_answers`` are the faults."""

    def __init__(self):
        self.keys = {}
        self.outage = False
        self.lose_answers = 0
        self.before_put = None
        self._revision = 0

    async def get(self, key):
        await anyio.lowlevel.checkpoint()
        if self.outage:
            raise StoreUnavailable("outage")
        value, revision = self.keys.get(key, (None, 0))
        return None if value is None else StoreEntry(key, value, revision)

    async def write(self, key, value, expected_revision=None, lease=0):
        await anyio.lowlevel.checkpoint()
        if self.outage:
            raise StoreUnavailable("outage")
        if self.before_put is not None:
            await self.before_put(key)
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(key)
        if (
            expected_revision is not None
            and self.keys.get(key, (None, 0))[1] != expected_revision
        ):
            raise CompareFailed(key)
        self._revision += 1
        self.keys[key] = (value, self._revision)
        if self.lose_answers and key.endswith("/head"):
            self.lose_answers -= 1
            raise StoreUnavailable("answer lost")
        return self._revision
