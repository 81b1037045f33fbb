"""Longest-prefix match from IPv4 addresses of clients to localities.

A locality is the name of a region or failure domain. Nested address blocks are
flattened once into disjoint ranges in two compact arrays, so that a look-up is
one binary search.
"""

import ipaddress
from array import array
from bisect import bisect_right

__all__ = ["BlockTable"]

ADDRESS_BITS = 32
_NO_LOCALITY = 0xFFFF


class BlockTable:
    """Maps an IPv4 address to the locality of the longest block that contains it."""

    # Range i begins at _starts[i] and ends before _starts[i + 1]; _indexes[i] is
    # the index of its locality in _localities, or _NO_LOCALITY.
    __slots__ = ("_indexes", "_localities", "_starts", "block_count")

    def __init__(self, blocks):
        """Build the table.

        :param blocks: a
            :class:`~turmericrudder.configuration.packed_blocks.PackedBlocks`.
        """
        self.block_count = len(blocks)
        self._localities = blocks.localities
        self._starts = array("I")
        self._indexes = array("H")
        self._flatten(blocks)

    def get_locality(self, client):
        """Return the locality of a client, or ``None`` if no block contains it.

        :param client: IP address as text; an IPv6 address is in no block.
        :raises ValueError: if ``client`` is not an IP address.
        """
        ip = ipaddress.ip_address(client)
        if ip.version != 4:
            return None
        return self.get_locality_by_number(int(ip))

    def get_locality_by_number(self, number):
        """Return the locality of an IPv4 address given as an int, or ``None``."""
        index = bisect_right(self._starts, number) - 1
        if index < 0 or self._indexes[index] == _NO_LOCALITY:
            return None
        return self._localities[self._indexes[index]]

    @property
    def nbytes(self):
        """Size of the arrays in bytes."""
        return sum(len(a) * a.itemsize for a in (self._starts, self._indexes))

    def _flatten(self, blocks):
        """Append the ranges of blocks that are sorted by start and length."""
        index_of = {name: index for index, name in enumerate(self._localities)}
        enclosing = []  # (end, locality index) of nested blocks, the outermost first
        for start, length, locality in blocks:
            self._end_blocks(enclosing, start)
            end = start + (1 << (ADDRESS_BITS - length))
            enclosing.append((end, index_of[locality]))
            self._append_range(start, index_of[locality])
        self._end_blocks(enclosing, 1 << ADDRESS_BITS)

    def _end_blocks(self, enclosing, start):
        """Remove the blocks that end at or before an address.

        After each, the range of the block that encloses it continues.
        """
        while enclosing and enclosing[-1][0] <= start:
            end, _ = enclosing.pop()
            outer = enclosing[-1][1] if enclosing else _NO_LOCALITY
            if end < 1 << ADDRESS_BITS:
                self._append_range(end, outer)

    def _append_range(self, start, index):
        """Append a range, merged with the last one if it has the same locality."""
        if self._starts and self._starts[-1] == start:
            self._indexes[-1] = index
        elif not self._indexes or self._indexes[-1] != index:
            self._starts.append(start)
            self._indexes.append(index)
