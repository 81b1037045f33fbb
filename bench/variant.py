"""Copies of an example deployment with other service times or limits."""

import shutil
import tempfile
from pathlib import Path

from .cluster import EXAMPLES

__all__ = ["make_variant"]


def make_variant(workspace, times=None, parameters=None, timing=None):
    """Return a directory that holds a changed copy of an example.

    :param times: {upstream service: {first part of the path: time}}.
    :param parameters: {text: replacement} in the parameters.
    :param timing: {key: time} for the ``[timing]`` of all entry instances.
    """
    root = Path(tempfile.mkdtemp(prefix="turmericrudder-variant-"))
    directory = root / workspace
    shutil.copytree(EXAMPLES / workspace, directory)
    for service, changed in (times or {}).items():
        _set_times(directory / "upstreams" / f"{service}.ini", changed)
    path = directory / "parameters.ini"
    text = path.read_text()
    for old, new in (parameters or {}).items():
        if old not in text:
            raise ValueError(f"{old!r} is not in the parameters")
        text = text.replace(old, new)
    path.write_text(text)
    for path in (directory / "entries").glob("*.ini"):
        lines = [f"{key} = {value}" for key, value in (timing or {}).items()]
        path.write_text(path.read_text() + "\n[timing]\n" + "\n".join(lines) + "\n")
    return root


def _set_times(path, changed):
    lines = []
    for line in path.read_text().splitlines():
        name = line.partition("=")[0].strip().removeprefix("time.")
        if line.startswith("time.") and name in changed:
            line = f"time.{name} = {changed[name]}"
        lines.append(line)
    path.write_text("\n".join(lines) + "\n")
