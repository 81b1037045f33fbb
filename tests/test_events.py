"""The catalogue of events against the code and the page for operators."""

import re
from pathlib import Path

from turmericrudder.events import iter_events

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "events.md").read_text()


def test_numbers_and_names_are_unique():
    events = list(iter_events())
    assert len({event.number for event in events}) == len(events)
    assert len({event.name for event in events}) == len(events)


def test_page_lists_exactly_the_catalogue():
    rows = re.findall(r"^\| (\d+) \| `(\w+)` \|", PAGE, re.MULTILINE)
    listed = [(int(number), name) for number, name in rows]
    assert listed == [(event.number, event.name) for event in iter_events()]


def test_every_event_is_written_somewhere():
    code = "".join(
        path.read_text()
        for path in (ROOT / "turmericrudder").rglob("*.py")
        if path.name != "catalogue.py"
    )
    unused = [
        e.name for e in iter_events() if f"catalogue.{e.name.upper()}" not in code
    ]
    assert unused == []
