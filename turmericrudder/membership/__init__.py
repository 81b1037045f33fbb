"""Which instances exist and which of them can be reached."""

from .member import Member, Status
from .view import View
from .watch import Silence, Watch
from .watchers import get_news_receivers, get_watched, get_watchers

__all__ = [
    "Member",
    "Silence",
    "Status",
    "View",
    "Watch",
    "get_news_receivers",
    "get_watched",
    "get_watchers",
]
