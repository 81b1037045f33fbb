"""Reading of settings files."""

import sys

from ..errors import SettingsInvalid
from ..ini import Section, read_ini_file

__all__ = ["read_settings", "read_settings_or_exit"]

INVALID_STATUS = 3  # exit status, the same as of the command line


def read_settings(path, allowed, required, build):
    """Return the settings that ``build`` makes from the INI file at ``path``.

    :param allowed: names of all known sections; a missing one is empty.
    :param required: names of sections that must be in the file.
    :param build: function of {name: :class:`~turmericrudder.ini.Section`}.
    :raises SettingsInvalid: naming file, section, key and reason, also for a
        key that ``build`` did not read.
    """
    sections = read_ini_file(path, allowed, required, SettingsInvalid)
    for name in allowed:
        sections.setdefault(name, Section(str(path), name, {}, SettingsInvalid))
    settings = build(sections)
    for section in sections.values():
        section.reject_unknown_keys()
    return settings


def read_settings_or_exit(read, path):
    """Return the settings of a process that starts.

    With an invalid file, the process prints the error and exits.

    :param read: function of the path that returns the settings.
    """
    try:
        return read(path)
    except SettingsInvalid as exc:
        print(exc, file=sys.stderr)
        sys.exit(INVALID_STATUS)
