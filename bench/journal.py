"""Read what measured runs on the users' bench left in the journal."""

from dataclasses import dataclass

import msgspec

__all__ = ["Day", "JournalInvalid", "Round", "read_rounds"]


class JournalInvalid(Exception):
    """A journal entry is not what this reader knows."""


@dataclass(frozen=True, slots=True)
class Day:
    """One played day.

    :param worth: what the day was worth, 1 at most.
    :param broken: {rule: how often it was broken}.
    :param losses: {cause: worth lost}, by parts of the worth and by prices.
    """

    name: str
    worth: float
    broken: dict[str, float]
    losses: dict[str, float]


@dataclass(frozen=True, slots=True)
class Round:
    """One run over one or more days.

    :param at: time of its beginning, ISO 8601.
    :param score: of all standard days, ``None`` if the run has none.
    """

    at: str
    command: str
    site: str
    commit: str
    why: str
    score: float | None
    days: tuple[Day, ...]

    def is_broken(self):
        """Return whether a rule was broken on any day."""
        return any(day.broken for day in self.days)


class _Day(msgspec.Struct):
    name: str
    worth: float = msgspec.field(name="G", default=0.0)
    rules: dict[str, float] = {}
    parts: list[tuple[str, float, float]] = []
    prices: list[tuple[str, float, float | None]] = []  # some runs tell no cost


class _Entry(msgspec.Struct):
    at: tuple[str, str]
    cmd: str
    site: str | None = None
    head: str | None = None
    why: str | None = None
    score: float | None = None
    days: list[_Day] = []


def read_rounds(directory):
    """Return the finished rounds of a journal in the order of their time.

    :param directory: path of the folder with one JSON file for each run.
    :raises JournalInvalid: naming the file that cannot be read.
    """
    rounds = []
    for path in sorted(directory.glob("*.json")):
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=_Entry)
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
