"""Names, document formats and the store client of the surrounding platform.

No decisions are made here.
"""

from . import protocol
from .evacuations import get_evacuated_domain
from .members import decode_member, encode_member, get_member_key, get_member_name
from .resolution import decode_resolve_request, encode_resolve_response
from .routing_configuration import decode_routing_configuration
from .store_client import MetadataStoreClient
from .store_entries import Deletion, Page, StoreEntry, WatchResponse
from .targets import decode_endpoint, get_target_id

__all__ = [
    "Deletion",
    "MetadataStoreClient",
    "Page",
    "StoreEntry",
    "WatchResponse",
    "decode_endpoint",
    "decode_member",
    "decode_resolve_request",
    "decode_routing_configuration",
    "encode_member",
    "encode_resolve_response",
    "get_evacuated_domain",
    "get_member_key",
    "get_member_name",
    "get_target_id",
    "protocol",
]
