"""Answer which entry instances a client should use."""

from .answer import LookupAnswer, LookupEntry
from .placement import order_entries
from .planner import LookupPlanner

__all__ = ["LookupAnswer", "LookupEntry", "LookupPlanner", "order_entries"]
