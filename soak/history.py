"""History of the requests of a run, with a check of the guarantees on them."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["History", "RequestResult"]

# Statuses that guarantee that no target executed the request.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
TARGET_STATUSES = (200, 500)  # with a body of the target's


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of one request of a client.

    :param status: HTTP status, or ``None`` if no complete response arrived.
    :param has_expected_body: whether the response body has the path, the attempt id
        and the body length of the request.
    :param end_time: monotonic time of its end, in seconds.
    :param defect: why a body with these is not the target's whole body, ``""`` if it
        is.
    :param has_left: whether the client left before the end of the response.
    """

    attempt_id: str
    is_idempotent: bool
    status: int | None
    has_expected_body: bool
    end_time: float
    defect: str = ""
    has_left: bool = False


class History:
    """Results of all requests, to be compared with what the targets executed."""

    def __init__(self):
        self.results = []

    def record(self, result):
        """Add a :class:`RequestResult`."""
        self.results.append(result)

    def find_violations(self, runs):
        """Return a line for each violation of a guarantee.

        :param runs: attempt id of each execution by a target.
        """
        counts = Counter(runs)
        violations = []
        for result in self.results:
            run_count = counts[result.attempt_id]
            if not result.is_idempotent and run_count > 1:
                violations.append(f"{result.attempt_id} ran {run_count} times")
            if (
                not result.is_idempotent
                and result.status in NOT_EXECUTED_STATUSES
                and run_count
            ):
                violations.append(f"{result.attempt_id} got {result.status} and ran")
            if result.status == 200 and not result.has_expected_body:
                violations.append(
                    f"{result.attempt_id} got a response that is not its own"
                )
            if result.status in TARGET_STATUSES and result.defect:
                violations.append(
                    f"{result.attempt_id} got {result.status} that looks complete, "
                    f"but is not the target's whole body: {result.defect}"
                )
            if result.status == 200 and not run_count:
                violations.append(f"{result.attempt_id} succeeded and never ran")
            if result.status == 404:
                violations.append(
                    f"{result.attempt_id} got 404 for a route that exists"
                )
        sent_ids = {result.attempt_id for result in self.results}
        violations += [
            f"{attempt_id} ran and no client sent it"
            for attempt_id in counts.keys() - sent_ids
        ]
        return violations

    def get_success_rate(self, since):
        """Return the fraction of the requests ended since a time that got a 200.

        Those whose client left do not count.
        """
        recent = [
            result
            for result in self.results
            if result.end_time >= since and not result.has_left
        ]
        successes = sum(result.status == 200 for result in recent)
        return successes / len(recent) if recent else 0.0
