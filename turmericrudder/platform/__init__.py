"""Names, document formats and the store client of the surrounding platform.

The package makes no routing decisions.
"""

from . import protocol
from .crash_reports import decode_crash_report, encode_crash_report, get_crash_key
from .evacuations import get_evacuated_domain
from .health_checks import decode_cold_time, encode_health_check
from .members import decode_member, encode_member, get_member_key, get_member_name
from .resolution import decode_directory_request, encode_directory_response
from .routing_configuration import decode_routing_configuration
from .store_client import MetadataStoreClient
from .store_entries import Deletion, Page, StoreEntry, WatchResponse
from .target_notices import decode_leaving, decode_pause
from .targets import decode_endpoint, get_target_id

__all__ = [
    "Deletion",
    "MetadataStoreClient",
    "Page",
    "StoreEntry",
    "WatchResponse",
    "decode_cold_time",
    "decode_crash_report",
    "decode_directory_request",
    "decode_endpoint",
    "decode_leaving",
    "decode_member",
    "decode_pause",
    "decode_routing_configuration",
    "encode_crash_report",
    "encode_directory_response",
    "encode_health_check",
    "encode_member",
    "get_crash_key",
    "get_evacuated_domain",
    "get_member_key",
    "get_member_name",
    "get_target_id",
    "protocol",
]
