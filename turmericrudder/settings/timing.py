"""Periods and timeouts of an entry instance."""

from dataclasses import dataclass

__all__ = ["TimingSettings"]


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """The ``[timing]`` section; all values are in seconds.

    :param heartbeat: period of heartbeats.
    :param suspect_after: time without a heartbeat after which an instance is
        suspected, and the other receivers of its heartbeats are queried.
    :param dead_after: time without a heartbeat at any receiver after which an
        instance is reported to all others as failed.
    :param reconcile: period in which an instance compares its view of the members
        with another instance's.
    :param lookup_ttl: time for which callers may cache a look-up response.
    :param epoch: time after which the prefix of new operation keys is replaced; an
        epoch is the set of the keys with one prefix.
    :param mark_timeout: time to wait for a reply of a witness, the instance that
        records for an operation key whether it may have run.
    :param report: period in which load reports of targets and the platform's list
        of instances are read.
    :param store_poll: accepted and not used.
    :param store_watch: longest duration of one watch of the store. A change may be as
        late as that and two seconds if the store loses the watch.
    :param drain_limit: longest time for in-flight requests to end at a stop.
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
    store_watch: float = 5.0
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
