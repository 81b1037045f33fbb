"""The entry instance: tasks that own sockets and state around the decisions."""

from .entry_instance import EntryInstance, run_entry

__all__ = ["EntryInstance", "run_entry"]
