"""Copies of an example deployment with changed settings."""

import shutil
import tempfile
from pathlib import Path

from .cluster import EXAMPLES

__all__ = ["make_deployment_copy"]


def make_deployment_copy(workspace, times=None, parameters=None, timing=None):
    """Copy an example deployment; return the directory that contains the copy.

    The copy is a subdirectory with the name of the workspace.

    :param times: service times of the upstreams, such as ``"400ms"``:
        {service: {first part of the path: time}}.
    :param parameters: {text: replacement} in ``parameters.ini``.
    :param timing: {key: time} in section ``[timing]`` of all entry instances.
    :raises ValueError: if a text to replace is not in ``parameters.ini``.
    """
    root = Path(tempfile.mkdtemp(prefix="turmericrudder-variant-"))
    directory = root / workspace
    shutil.copytree(EXAMPLES / workspace, directory)
    for service, service_times in (times or {}).items():
        _set_times(directory / "upstreams" / f"{service}.ini", service_times)
    path = directory / "parameters.ini"
    text = path.read_text()
    for old, new in (parameters or {}).items():
        if old not in text:
            raise ValueError(f"{old!r} is not in the parameters (parameters.ini)")
        text = text.replace(old, new)
    path.write_text(text)
    for path in (directory / "entries").glob("*.ini"):
        lines = [f"{key} = {value}" for key, value in (timing or {}).items()]
        path.write_text(path.read_text() + "\n[timing]\n" + "\n".join(lines) + "\n")
    return root


def _set_times(path, service_times):
    lines = []
    for line in path.read_text().splitlines():
        name = line.partition("=")[0].strip().removeprefix("time.")
        if line.startswith("time.") and name in service_times:
            line = f"time.{name} = {service_times[name]}"
        lines.append(line)
    path.write_text("\n".join(lines) + "\n")
