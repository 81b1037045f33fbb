"""Split a configuration source into content-addressed chunks and join them.

Where a chunk of address blocks ends depends on the blocks alone, so that a
change of one block changes one chunk and the others stay shared.
"""

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
BLOCKS_PER_CHUNK = 2048  # on average
MAX_BLOCKS_PER_CHUNK = 4 * BLOCKS_PER_CHUNK


def get_hash(data):
    """Return the hash in hexadecimal by which a chunk or manifest is named."""
    return hashlib.blake2b(data, digest_size=HASH_BYTES).hexdigest()


def split_chunks(source):
    """Return the chunks of a :class:`ConfigurationSource` as a list of bytes.

    The first chunk holds the texts, the others hold the address blocks.
    """
    texts = TextChunk(source.templates, source.parameters, source.drained)
    chunks = [msgspec.msgpack.encode(texts)]
    chunks += [
        _encode_blocks(source.blocks.slice(begin, end))
        for begin, end in _iter_chunk_ranges(source)
    ]
    return chunks


def join_chunks(chunks):
    """Return the source of the chunks that :func:`split_chunks` made.

    The first chunk alone gives a source without address blocks.

    :raises msgspec.DecodeError: if a chunk is damaged.
    """
    texts = msgspec.msgpack.decode(chunks[0], type=TextChunk)
    blocks = PackedBlocks.pack(())
    for chunk in chunks[1:]:
        blocks.append(_unpack_blocks(msgspec.msgpack.decode(chunk, type=BlockChunk)))
    return ConfigurationSource(texts.templates, texts.parameters, blocks, texts.drained)


def _iter_chunk_ranges(source):
    """Yield (begin, end) of the indexes of the blocks in each chunk."""
    begin = 0
    for index, (start, length, _) in enumerate(source.blocks):
        checksum = zlib.crc32(b"%d/%d" % (start, length))
        size = index + 1 - begin
        if checksum % BLOCKS_PER_CHUNK == 0 or size == MAX_BLOCKS_PER_CHUNK:
            yield begin, index + 1
            begin = index + 1
    if begin < len(source.blocks):
        yield begin, len(source.blocks)


def _encode_blocks(blocks):
    """Return the chunk of some blocks, with only the localities that they use."""
    used = sorted(set(blocks.indexes), key=blocks.localities.__getitem__)
    new_indexes = {index: position for position, index in enumerate(used)}
    chunk = BlockChunk(
        places=tuple(blocks.localities[index] for index in used),
        starts=_to_bytes(blocks.starts),
        lengths=blocks.lengths.tobytes(),
        indexes=_to_bytes(array("H", (new_indexes[i] for i in blocks.indexes))),
    )
    return msgspec.msgpack.encode(chunk)


def _unpack_blocks(chunk):
    return PackedBlocks(
        chunk.places,
        _from_bytes("I", chunk.starts),
        _from_bytes("B", chunk.lengths),
        _from_bytes("H", chunk.indexes),
    )


def _to_bytes(values):
    """Return the values of an array in little-endian byte order."""
    copy = values[:]
    if sys.byteorder == "big":
        copy.byteswap()
    return copy.tobytes()


def _from_bytes(type_code, data):
    values = array(type_code)
    values.frombytes(data)
    if sys.byteorder == "big":
        values.byteswap()
    return values
