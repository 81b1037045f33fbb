"""What clients were told and what targets ran, and the promises between them."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["Answer", "Ledger"]

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class Answer:
    """How one send of a client ended.

    :param status: HTTP status, or ``None`` if no whole answer came.
    :param is_own: whether body and id are those of the request.
    :param at: monotonic time of the end.
    """

    attempt_id: str
    is_idempotent: bool
    status: int | None
    is_own: bool
    at: float


class Ledger:
    """All answers; :meth:`get_broken` compares them with the runs."""

    def __init__(self):
        self.answers = []

    def note(self, answer):
        """Add an answer."""
        self.answers.append(answer)

    def get_broken(self, runs):
        """Return a line for each promise that was broken.

        :param runs: attempt ids in the order in which targets ran them.
        """
        counts = Counter(runs)
        broken = []
        for answer in self.answers:
            ran = counts[answer.attempt_id]
            if not answer.is_idempotent and ran > 1:
                broken.append(f"{answer.attempt_id} ran {ran} times")
            if not answer.is_idempotent and answer.status in NOT_RUN_STATUSES and ran:
                broken.append(f"{answer.attempt_id} got {answer.status} and ran")
            if answer.status == 200 and not answer.is_own:
                broken.append(f"{answer.attempt_id} got an answer that is not its own")
            if answer.status == 200 and not ran:
                broken.append(f"{answer.attempt_id} succeeded and never ran")
            if answer.status == 404:
                broken.append(f"{answer.attempt_id} got 404 for a route that exists")
        sent = {answer.attempt_id for answer in self.answers}
        broken += [f"{name} ran and no client sent it" for name in counts.keys() - sent]
        return broken

    def get_share_served(self, since):
        """Return the part of the sends since a time that succeeded."""
        recent = [answer for answer in self.answers if answer.at >= since]
        served = sum(answer.status == 200 for answer in recent)
        return served / len(recent) if recent else 0.0
