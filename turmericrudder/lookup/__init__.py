"""Answer which entry instances a client should use."""

from .answer import LookupAnswer, LookupEntry
from .placement import order_entries
from .planner import LookupPlanner
from .prefixes import get_issued_prefixes

__all__ = [
    "LookupAnswer",
    "LookupEntry",
    "LookupPlanner",
    "get_issued_prefixes",
    "order_entries",
]
