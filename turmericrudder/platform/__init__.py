"""Names, formats and calls of the users' platform; nothing here decides."""

from . import names
from .configuration import decode_configuration
from .evacuations import get_evacuated_domain
from .members import decode_member, encode_member, get_member_key, get_member_name
from .records import Changes, Deletion, Item, Page
from .resolution import decode_question, encode_answer
from .store import MetadataStore
from .targets import decode_endpoint, get_target_id

__all__ = [
    "Changes",
    "Deletion",
    "Item",
    "MetadataStore",
    "Page",
    "decode_configuration",
    "decode_endpoint",
    "decode_member",
    "decode_question",
    "encode_answer",
    "encode_member",
    "get_evacuated_domain",
    "get_member_key",
    "get_member_name",
    "get_target_id",
    "names",
]
