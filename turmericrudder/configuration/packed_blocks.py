"""Blocks of clients in compact arrays."""

from array import array

__all__ = ["PackedBlocks"]


class PackedBlocks:
    """A sorted sequence of (first address, prefix length, place).

    150,000 blocks take about 1 MB; as tuples they would take twenty times as
    much, which a process never gives back.
    """

    __slots__ = ("indexes", "lengths", "localities", "starts")

    def __init__(self, localities, starts, lengths, indexes):
        """Take arrays of equal length, sorted by start and length.

        :param localities: names, indexed by ``indexes``.
        """
        self.localities = tuple(localities)
        self.starts = starts
        self.lengths = lengths
        self.indexes = indexes

    @classmethod
    def pack(cls, blocks):
        """Return the packed form of an iterable of blocks."""
        blocks = sorted(blocks)
        places = sorted({place for _, _, place in blocks})
        index_of = {place: index for index, place in enumerate(places)}
        return cls(
            places,
            array("I", (start for start, _, _ in blocks)),
            array("B", (length for _, length, _ in blocks)),
            array("H", (index_of[place] for _, _, place in blocks)),
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
        return all(mine == theirs for mine, theirs in zip(self, other, strict=True))

    __hash__ = None

    def __repr__(self):
        return f"<PackedBlocks of {len(self)}>"

    def slice(self, begin, end):
        """Return the blocks from one index to before another."""
        return PackedBlocks(
            self.localities,
            self.starts[begin:end],
            self.lengths[begin:end],
            self.indexes[begin:end],
        )

    def append(self, other):
        """Add blocks that come after the ones held."""
        places = list(self.localities)
        translated = []
        for place in other.localities:
            if place not in places:
                places.append(place)
            translated.append(places.index(place))
        self.localities = tuple(places)
        self.starts.extend(other.starts)
        self.lengths.extend(other.lengths)
        self.indexes.extend(translated[index] for index in other.indexes)
