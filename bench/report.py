"""One HTML page with the effect of each measured round, from the journal."""

import io

import jinja2
from matplotlib.figure import Figure

from .journal import read_rounds

__all__ = ["write_report"]

ROUNDS_SHOWN = 40  # the latest of a site; more make the labels unreadable
CAUSES_SHOWN = 8  # the largest losses of a day; the rest is summed up
SIZE = (10, 4)  # inches
TEMPLATE = """<!doctype html>
<meta charset="utf-8">
<title>Measured rounds</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em }
table { border-collapse: collapse } td, th { padding: .2em .6em; text-align: left }
.broken { color: #a00 }
</style>
<h1>Measured rounds</h1>
{% for site in sites %}
<h2>{{ site.name }}</h2>
{{ site.worth | safe }}
{{ site.losses | safe }}
<table>
<tr><th>began<th>run<th>commit<th>score<th>days<th>days with a broken rule<th>why</tr>
{% for round in site.rounds %}
<tr{% if round.is_broken() %} class="broken"{% endif %}>
<td>{{ round.at }}<td>{{ round.command }}<td>{{ round.commit }}
<td>{{ "" if round.score is none else "%.3f" | format(round.score) }}
<td>{{ round.days | length }}
<td>{{ round.days | selectattr("broken") | map(attribute="name") | join(", ") }}
<td>{{ round.why }}</tr>
{% endfor %}
</table>
{% endfor %}
"""


def write_report(journal, path):
    """Write the page; return the number of rounds on it.

    :param journal: folder of the journal's entries.
    :raises JournalInvalid: if an entry cannot be read.
    """
    rounds = read_rounds(journal)
    sites = [
        _describe(name, [item for item in rounds if item.site == name])
        for name in sorted({item.site for item in rounds})
    ]
    page = jinja2.Environment(autoescape=True).from_string(TEMPLATE)
    path.write_text(page.render(sites=sites))
    return len(rounds)


def _describe(name, rounds):
    scored = [item for item in rounds if item.score is not None][-ROUNDS_SHOWN:]
    return {
        "name": name,
        "rounds": rounds,
        "worth": _plot_worth(scored) if scored else "",
        "losses": _plot_losses(scored[-1]) if scored else "",
    }


def _plot_worth(rounds):
    """Return the worth of each standard day over the scored rounds, as SVG."""
    figure = Figure(figsize=SIZE, layout="constrained")
    axes = figure.subplots()
    standard = [day.name for day in rounds[-1].days]
    for name in standard:
        points = [
            (number, day.worth)
            for number, item in enumerate(rounds)
            for day in item.days
            if day.name == name
        ]
        axes.plot(*zip(*points, strict=True), marker="o", label=name)
    labels = [item.commit for item in rounds]
    axes.set_xticks(range(len(rounds)), labels, rotation=60)
    axes.set_ylabel("worth of a day")
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
    return _render(figure)


def _plot_losses(latest):
    """Return what each day of a round lost, by cause, as SVG."""
    figure = Figure(figsize=SIZE, layout="constrained")
    axes = figure.subplots()
    total = {}
    for day in latest.days:
        for cause, lost in day.losses.items():
            total[cause] = total.get(cause, 0.0) + lost
    shown = sorted(total, key=total.get, reverse=True)[:CAUSES_SHOWN]
    names = [day.name for day in latest.days]
    left = [0.0] * len(names)
    for cause in (*shown, "others"):
        lost = [_get_loss(day, cause, shown) for day in latest.days]
        axes.barh(names, lost, left=left, label=cause)
        left = [sum(pair) for pair in zip(left, lost, strict=True)]
    axes.set_xlabel(f"worth lost at {latest.commit}, by cause")
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
    return _render(figure)


def _get_loss(day, cause, shown):
    if cause != "others":
        return day.losses.get(cause, 0.0)
    return sum(lost for name, lost in day.losses.items() if name not in shown)


def _render(figure):
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    text = buffer.getvalue()
    return text[text.index("<svg") :]
