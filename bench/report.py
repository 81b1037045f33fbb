"""An HTML page that plots the scored runs of the journal by site."""

import io

import jinja2
from matplotlib.figure import Figure

from .journal import read_rounds

__all__ = ["write_report"]

MAX_ROUNDS_PLOTTED = 40  # latest per site; more make labels unreadable
MAX_CAUSES_PLOTTED = 8  # largest losses of a run; the rest is summed up
FIGURE_SIZE = (10, 4)  # inches
PAGE_TEMPLATE = """<!doctype html>
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
    """Write the page; return the number of runs on it.

    :param journal: path of the folder with the journal's entries.
    :param path: path of the page.
    :raises JournalInvalid: if an entry cannot be read.
    """
    rounds = read_rounds(journal)
    sites = [
        _make_site_context(name, [item for item in rounds if item.site == name])
        for name in sorted({item.site for item in rounds})
    ]
    page = jinja2.Environment(autoescape=True).from_string(PAGE_TEMPLATE)
    path.write_text(page.render(sites=sites))
    return len(rounds)


def _make_site_context(name, rounds):
    scored = [item for item in rounds if item.score is not None][-MAX_ROUNDS_PLOTTED:]
    return {
        "name": name,
        "rounds": rounds,
        "worth": _plot_worth(scored) if scored else "",
        "losses": _plot_losses(scored[-1]) if scored else "",
    }


def _plot_worth(rounds):
    """Return a plot of the worth of each day over the runs, as SVG."""
    figure = Figure(figsize=FIGURE_SIZE, layout="constrained")
    axes = figure.subplots()
    day_names = [day.name for day in rounds[-1].days]
    for name in day_names:
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
    """Return a bar chart of the worth lost on each day of a run, as SVG."""
    figure = Figure(figsize=FIGURE_SIZE, layout="constrained")
    axes = figure.subplots()
    totals = {}
    for day in latest.days:
        for cause, lost in day.losses.items():
            totals[cause] = totals.get(cause, 0.0) + lost
    largest = sorted(totals, key=totals.get, reverse=True)[:MAX_CAUSES_PLOTTED]
    names = [day.name for day in latest.days]
    offsets = [0.0] * len(names)
    for cause in (*largest, "others"):
        lost = [_get_loss(day, cause, largest) for day in latest.days]
        axes.barh(names, lost, left=offsets, label=cause)
        offsets = [sum(pair) for pair in zip(offsets, lost, strict=True)]
    axes.set_xlabel(f"worth lost at {latest.commit}, by cause")
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
    return _render(figure)


def _get_loss(day, cause, largest):
    if cause != "others":
        return day.losses.get(cause, 0.0)
    return sum(lost for name, lost in day.losses.items() if name not in largest)


def _render(figure):
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    text = buffer.getvalue()
    return text[text.index("<svg") :]
