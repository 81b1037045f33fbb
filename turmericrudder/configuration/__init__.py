"""The workspace configuration: sources, compilation, and revisions in the store."""

from .blocks import BlockTable
from .chunks import join_chunks, split_chunks
from .compiler import compile_source
from .model import Configuration
from .packed_blocks import PackedBlocks
from .record import ConfigurationHead, Manifest
from .repository import ConfigurationRepository
from .request_class import RequestClass
from .service import Service
from .source import ConfigurationSource, read_source
from .target import Target

__all__ = [
    "BlockTable",
    "Configuration",
    "ConfigurationHead",
    "ConfigurationRepository",
    "ConfigurationSource",
    "Manifest",
    "PackedBlocks",
    "RequestClass",
    "Service",
    "Target",
    "compile_source",
    "join_chunks",
    "read_source",
    "split_chunks",
]
