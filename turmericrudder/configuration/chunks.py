"""Split a source into content-addressed chunks and join them again.

Boundaries between chunks of blocks depend on the blocks alone, so that a
change of one block changes one chunk."""

import hashlib
import sys
import zlib
from array import array

import msgspec

from .packed_blocks import PackedBlocks
from .record import BlockChunk, TextChunk
from .source import ConfigurationSource

__all__ = ["get_hash", "join_chunks", "split_chunks"]

HASH_BYTES = 16
# A chunk ends after about this many blocks, and after four times as many at most.
BLOCKS_PER_CHUNK = 2048
MAX_BLOCKS_PER_CHUNK = 4 * BLOCKS_PER_CHUNK


def get_hash(data):
    """Return the name of a chunk or manifest."""
    return hashlib.blake2b(data, digest_size=HASH_BYTES).hexdigest()


def split_chunks(source):
    """Return the chunks of a source, the document first, as a list of bytes."""
    document = TextChunk(source.templates, source.parameters, source.drained)
    chunks = [msgspec.msgpack.encode(document)]
    chunks += [
        _pack(source.blocks.slice(begin, end)) for begin, end in _iter_runs(source)
    ]
    return chunks


def join_chunks(chunks):
    """Return the source that :func:`split_chunks` took apart.

    The document alone gives a source without blocks.

    :raises msgspec.DecodeError: if a chunk is damaged.
    """
    document = msgspec.msgpack.decode(chunks[0], type=TextChunk)
    blocks = PackedBlocks.pack(())
    for chunk in chunks[1:]:
        blocks.append(_unpack(msgspec.msgpack.decode(chunk, type=BlockChunk)))
    return ConfigurationSource(
        document.templates, document.parameters, blocks, document.drained
    )


def _iter_runs(source):
    """Yield (begin, end) of the blocks that go into one chunk each."""
    begin = 0
    for index, (start, length, _) in enumerate(source.blocks):
        mark = zlib.crc32(b"%d/%d" % (start, length))
        size = index + 1 - begin
        if mark % BLOCKS_PER_CHUNK == 0 or size == MAX_BLOCKS_PER_CHUNK:
            yield begin, index + 1
            begin = index + 1
    if begin < len(source.blocks):
        yield begin, len(source.blocks)


def _pack(blocks):
    used = sorted(set(blocks.indexes), key=blocks.localities.__getitem__)
    index_of = {index: position for position, index in enumerate(used)}
    chunk = BlockChunk(
        places=tuple(blocks.localities[index] for index in used),
        starts=_to_bytes(blocks.starts),
        lengths=blocks.lengths.tobytes(),
        indexes=_to_bytes(array("H", (index_of[i] for i in blocks.indexes))),
    )
    return msgspec.msgpack.encode(chunk)


def _unpack(chunk):
    return PackedBlocks(
        chunk.places,
        _from_bytes("I", chunk.starts),
        _from_bytes("B", chunk.lengths),
        _from_bytes("H", chunk.indexes),
    )


def _to_bytes(values):
    packed = values[:]
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def _from_bytes(code, data):
    packed = array(code)
    packed.frombytes(data)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed
