"""Periods and patience of an entry instance."""

from dataclasses import dataclass

__all__ = ["TimingSettings"]


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Times in seconds.

    ``suspect_after`` of silence makes a watcher suspect an instance,
    ``dead_after`` makes it tell the others that the instance failed.
    ``lookup_ttl`` is how long callers may cache a look-up answer.
    """

    heartbeat: float = 0.4
    suspect_after: float = 1.2
    dead_after: float = 1.8
    reconcile: float = 2.0
    lookup_ttl: float = 2.0
    epoch: float = 120.0
    mark_timeout: float = 0.5
    report: float = 1.0
    store_poll: float = 5.0
    store_watch: float = 20.0
    drain_limit: float = 600.0

    @classmethod
    def read(cls, section):
        """Return the settings of the ``[timing]`` section."""
        values = {
            name: section.get_duration(name, f"{getattr(cls(), name)}s")
            for name in cls.__slots__
        }
        if values["dead_after"] <= values["suspect_after"]:
            raise section.make_error("dead_after", "must be longer than suspect_after")
        if values["suspect_after"] <= values["heartbeat"]:
            raise section.make_error("suspect_after", "must be longer than heartbeat")
        return cls(**values)
