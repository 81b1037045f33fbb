"""Reading of journal entries, and the report page made from them."""

import msgspec
import pytest

from bench.journal import JournalInvalid, read_rounds
from bench.report import write_report


def make_entry(at, score, worth, rules=None):
    day = {
        "name": "quiet",
        "G": worth,
        "rules": rules or {},
        "parts": [["whole day", 0.4, 0.75], ["worst zone", 0.6, 0.5]],
        "prices": [["calls", 7.0, 0.02], ["untold", 1.0, None]],
    }
    return {
        "at": [at, at], "cmd": "score", "site": "here", "head": "0123456789",
        "why": "a <b>reason</b>", "score": score, "days": [day],
    }  # fmt: skip


def write(directory, **entries):
    for name, entry in entries.items():
        (directory / f"{name}.json").write_bytes(msgspec.json.encode(entry))


def test_rounds_are_sorted_by_time(tmp_path):
    write(
        tmp_path, a=make_entry("2026-02", 0.9, 0.6), b=make_entry("2026-01", 0.8, 0.5)
    )
    first, second = read_rounds(tmp_path)
    assert (first.score, second.score) == (0.8, 0.9)
    (day,) = first.days
    assert day.losses == pytest.approx(
        {"whole day": 0.1, "worst zone": 0.3, "price: calls": 0.02}
    )


def test_unfinished_runs_are_skipped(tmp_path):
    write(tmp_path, a={"at": ["2026-01", ""], "cmd": "hunt", "site": None, "days": []})
    assert read_rounds(tmp_path) == []


def test_page_marks_rounds_with_broken_rules(tmp_path):
    write(
        tmp_path,
        a=make_entry("2026-01", 0.8, 0.5),
        b=make_entry("2026-02", None, 0.6, {"TWICE": 1}),
    )
    page = tmp_path / "page.html"
    assert write_report(tmp_path, page) == 2
    text = page.read_text()
    assert text.count("<svg") == 2
    assert text.count('class="broken"') == 1
    assert "a &lt;b&gt;reason&lt;/b&gt;" in text


@pytest.mark.parametrize("content", [b"{", b'{"cmd": "run"}', b'{"at": 7, "cmd": ""}'])
def test_error_names_invalid_entry(tmp_path, content):
    (tmp_path / "odd.json").write_bytes(content)
    with pytest.raises(JournalInvalid, match="odd.json"):
        read_rounds(tmp_path)
