"""Reader for the journal of scored runs on the users' bench."""

from dataclasses import dataclass

import msgspec

__all__ = ["Day", "JournalInvalid", "Round", "read_rounds"]


class JournalInvalid(Exception):
    """A journal entry is unreadable or has another schema."""


@dataclass(frozen=True, slots=True)
class Day:
    """One simulated day of a run.

    :param worth: score of the day, 1 at most.
    :param broken: {rule: number of violations}.
    :param losses: {cause: worth lost}. A cause is a part of the worth that was
        not reached in full, or a price, a deduction for resources used or for
        failures.
    """

    name: str
    worth: float
    broken: dict[str, float]
    losses: dict[str, float]


@dataclass(frozen=True, slots=True)
class Round:
    """One run of the users' bench over one or more days.

    :param at: start time, ISO 8601.
    :param command: command of the users' bench, such as ``score``.
    :param site: deployment that was simulated.
    :param commit: first 8 digits of the commit that was measured.
    :param why: reason given for the run.
    :param score: score over all standard days, ``None`` if none were run.
    """

    at: str
    command: str
    site: str
    commit: str
    why: str
    score: float | None
    days: tuple[Day, ...]

    def is_broken(self):
        """Return whether a rule was violated on any day."""
        return any(day.broken for day in self.days)


class _JournalDay(msgspec.Struct):
    name: str
    worth: float = msgspec.field(name="G", default=0.0)
    rules: dict[str, float] = {}
    parts: list[tuple[str, float, float]] = []  # (name, weight, share reached)
    # (name, amount, worth deducted, missing in some runs)
    prices: list[tuple[str, float, float | None]] = []


class _JournalEntry(msgspec.Struct):
    at: tuple[str, str]
    cmd: str
    site: str | None = None
    head: str | None = None
    why: str | None = None
    score: float | None = None
    days: list[_JournalDay] = []


def read_rounds(directory):
    """Return the finished runs of a journal, sorted by start time.

    :param directory: path of the folder with one JSON file per run.
    :raises JournalInvalid: if a file cannot be read; the message names it.
    """
    rounds = []
    for path in sorted(directory.glob("*.json")):
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=_JournalEntry)
        except (OSError, msgspec.DecodeError) as exc:
            raise JournalInvalid(f'journal entry "{path}" is invalid: {exc}') from exc
        if entry.site and entry.days:
            rounds.append(_make_round(entry))
    return sorted(rounds, key=lambda item: item.at)


def _make_round(entry):
    return Round(
        at=entry.at[0],
        command=entry.cmd,
        site=entry.site,
        commit=(entry.head or "")[:8],
        why=entry.why or "",
        score=entry.score,
        days=tuple(map(_make_day, entry.days)),
    )


def _make_day(day):
    losses = {name: weight * (1.0 - value) for name, weight, value in day.parts}
    for name, _, cost in day.prices:
        if cost is not None:
            losses[f"price: {name}"] = cost
    return Day(day.name, day.worth, day.rules, losses)
