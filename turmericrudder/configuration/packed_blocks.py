"""IPv4 address blocks and their localities in compact arrays."""

from array import array

__all__ = ["PackedBlocks"]


class PackedBlocks:
    """A sorted sequence of (first address, prefix length, locality).

    The address is an int, the locality the name of a region or failure domain.
    150,000 blocks take about 1 MB. Tuples would take twenty times as much, and
    the process would not return this memory to the system.
    """

    __slots__ = ("indexes", "lengths", "localities", "starts")

    def __init__(self, localities, starts, lengths, indexes):
        """Use arrays of equal length, sorted by start and length.

        :param localities: names of localities.
        :param starts: first address of each block.
        :param lengths: prefix length of each block in bits.
        :param indexes: index of each block's locality in ``localities``.
        """
        self.localities = tuple(localities)
        self.starts = starts
        self.lengths = lengths
        self.indexes = indexes

    @classmethod
    def pack(cls, blocks):
        """Return the packed form of (first address, prefix length, locality) tuples."""
        blocks = sorted(blocks)
        localities = sorted({locality for _, _, locality in blocks})
        index_of = {locality: index for index, locality in enumerate(localities)}
        return cls(
            localities,
            array("I", (start for start, _, _ in blocks)),
            array("B", (length for _, length, _ in blocks)),
            array("H", (index_of[locality] for _, _, locality in blocks)),
        )

    def __len__(self):
        return len(self.starts)

    def __iter__(self):
        for start, length, index in zip(
            self.starts, self.lengths, self.indexes, strict=True
        ):
            yield start, length, self.localities[index]

    def __eq__(self, other):
        if not isinstance(other, PackedBlocks) or len(self) != len(other):
            return NotImplemented if not isinstance(other, PackedBlocks) else False
        return all(left == right for left, right in zip(self, other, strict=True))

    __hash__ = None

    def __repr__(self):
        return f"<PackedBlocks of {len(self)}>"

    def slice(self, begin, end):
        """Return the blocks from index ``begin`` to before index ``end``."""
        return PackedBlocks(
            self.localities,
            self.starts[begin:end],
            self.lengths[begin:end],
            self.indexes[begin:end],
        )

    def append(self, other):
        """Append the blocks of another sequence, which must sort after these."""
        localities = list(self.localities)
        new_indexes = []
        for locality in other.localities:
            if locality not in localities:
                localities.append(locality)
            new_indexes.append(localities.index(locality))
        self.localities = tuple(localities)
        self.starts.extend(other.starts)
        self.lengths.extend(other.lengths)
        self.indexes.extend(new_indexes[index] for index in other.indexes)
