"""Which requests end the targets that run them, decided from what was in progress."""

from dataclasses import dataclass

__all__ = ["CrashLedger", "CrashReport"]

MAX_REPORTS = 4096  # reports of one ledger
# Targets that have to end under a request, one after another, until it is blocked.
BLOCKING_COUNT = 3


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A target ended while a request was in progress at it.

    :param fingerprint: digest that is equal if the request is sent again.
    :param target: digest of one incarnation of a target.
    :param depth: one more than the depth of the reports on the request that were known
        when it was sent to the target.
    """

    fingerprint: str
    target: str
    depth: int


class CrashLedger:
    """Decides which requests are blocked.

    A request is blocked once targets have ended under it one after another: the third
    report was made with the second known. That many targets ended at once, for example
    in one rack, is no evidence against what was in progress at all of them. The reports
    on a request to which any target responds are to be removed.

    A target counts against one request only: of those that were in progress at it, the
    one under which most targets ended.
    """

    __slots__ = ("_blocked", "_count", "_depths", "_is_outdated")

    def __init__(self):
        self._depths = {}  # fingerprint -> {target: depth}
        self._count = 0
        self._blocked = frozenset()
        self._is_outdated = False

    def __len__(self):
        return self._count

    def add(self, report):
        """Add a report; return whether it is a new one and there was room for it.

        A full ledger forgets the oldest request with a single report.
        """
        depths = self._depths.get(report.fingerprint, {})
        if report.depth <= depths.get(report.target, 0):
            return False
        if report.target not in depths:
            if self._count >= MAX_REPORTS and not self._remove_oldest_single():
                return False
            self._count += 1
        self._depths.setdefault(report.fingerprint, depths)[report.target] = (
            report.depth
        )
        self._is_outdated |= len(depths) >= BLOCKING_COUNT
        return True

    def remove(self, fingerprint, target):
        """Remove a report, if it is known."""
        depths = self._depths.get(fingerprint)
        if depths is None or depths.pop(target, None) is None:
            return
        self._count -= 1
        if not depths:
            del self._depths[fingerprint]
        self._is_outdated |= bool(self._blocked)

    def _remove_oldest_single(self):
        for fingerprint, depths in self._depths.items():
            if len(depths) == 1:
                self.remove(fingerprint, next(iter(depths)))
                return True
        return False

    def get_targets(self, fingerprint):
        """Return the digests of the targets that ended under a request."""
        return list(self._depths.get(fingerprint, ()))

    def get_depth(self, fingerprint):
        """Return the highest depth of the reports on a request, 0 without any."""
        return max(self._depths.get(fingerprint, {}).values(), default=0)

    def get_blocked(self):
        """Return the fingerprints of the blocked requests as a frozenset."""
        if self._is_outdated:
            self._is_outdated = False
            self._blocked = frozenset(self._find_blocked())
        return self._blocked

    def _find_blocked(self):
        unexplained = {
            fingerprint: set(depths)
            for fingerprint, depths in self._depths.items()
            if len(depths) >= BLOCKING_COUNT
        }
        while unexplained:
            best = max(unexplained, key=lambda name: (len(unexplained[name]), name))
            targets = unexplained.pop(best)
            if len(targets) < BLOCKING_COUNT:
                return
            if self.get_depth(best) >= BLOCKING_COUNT:
                yield best
            for others in unexplained.values():
                others -= targets
