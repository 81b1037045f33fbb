"""The entry instance for callers: its servers, background tasks and their state."""

from .entry_instance import EntryInstance, run_entry

__all__ = ["EntryInstance", "run_entry"]
