"""Longest-prefix table from blocks of clients to places.

Nested prefixes are flattened once into disjoint ranges, kept in two compact
arrays; a look-up is one binary search."""

import ipaddress
from array import array
from bisect import bisect_right

__all__ = ["BlockTable"]

ADDRESS_BITS = 32
_NO_PLACE = 0xFFFF


class BlockTable:
    """Maps an IPv4 address to the place of the longest block that holds it."""

    __slots__ = ("_places", "_ranges", "_starts", "block_count")

    def __init__(self, blocks):
        """Build the table.

        :param blocks: a
            :class:`~turmericrudder.configuration.packed_blocks.PackedBlocks`.
        """
        self.block_count = len(blocks)
        self._places = blocks.localities
        self._starts = array("I")
        self._ranges = array("H")
        self._flatten(blocks)

    def get_locality(self, client):
        """Return the place of a client, or ``None`` if no block holds it.

        :param client: IP number as text.
        :raises ValueError: if ``client`` is no IP number.
        """
        ip = ipaddress.ip_address(client)
        if ip.version != 4:
            return None
        return self.get_locality_by_number(int(ip))

    def get_locality_by_number(self, number):
        """Return the place of an IPv4 address given as an int."""
        index = bisect_right(self._starts, number) - 1
        if index < 0 or self._ranges[index] == _NO_PLACE:
            return None
        return self._places[self._ranges[index]]

    @property
    def nbytes(self):
        """Size of the arrays in bytes."""
        return sum(len(a) * a.itemsize for a in (self._starts, self._ranges))

    def _flatten(self, blocks):
        index_of = {place: index for index, place in enumerate(self._places)}
        open_blocks = []
        for start, length, place in blocks:
            self._close_until(open_blocks, start)
            end = start + (1 << (ADDRESS_BITS - length))
            open_blocks.append((end, index_of[place]))
            self._append(start, index_of[place])
        self._close_until(open_blocks, 1 << ADDRESS_BITS)

    def _close_until(self, open_blocks, start):
        while open_blocks and open_blocks[-1][0] <= start:
            end, _ = open_blocks.pop()
            outer = open_blocks[-1][1] if open_blocks else _NO_PLACE
            if end < 1 << ADDRESS_BITS:
                self._append(end, outer)

    def _append(self, start, place):
        if self._starts and self._starts[-1] == start:
            self._ranges[-1] = place
        elif not self._ranges or self._ranges[-1] != place:
            self._starts.append(start)
            self._ranges.append(place)
