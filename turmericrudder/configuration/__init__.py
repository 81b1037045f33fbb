"""What operators accept: templates, parameters, blocks, and their revisions."""

from .blocks import BlockTable
from .chunks import join_chunks, split_chunks
from .compiler import compile_source
from .model import Configuration
from .packed_blocks import PackedBlocks
from .record import Head, Manifest
from .repository import Repository
from .request_class import RequestClass
from .service import Service
from .source import Source, read_source
from .target import Target

__all__ = [
    "BlockTable",
    "Configuration",
    "Head",
    "Manifest",
    "PackedBlocks",
    "Repository",
    "RequestClass",
    "Service",
    "Source",
    "Target",
    "compile_source",
    "join_chunks",
    "read_source",
    "split_chunks",
]
