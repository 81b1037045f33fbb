"""Look-up of the entry instances that a client should use."""

from .entry_ranking import rank_entry_instances
from .key_prefixes import get_key_prefixes
from .resolver import LookupResolver
from .response import LookupEntry, LookupResponse

__all__ = [
    "LookupEntry",
    "LookupResolver",
    "LookupResponse",
    "get_key_prefixes",
    "rank_entry_instances",
]
