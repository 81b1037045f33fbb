"""Read INI files with typed values; errors name file, section, key and reason."""

import configparser
import re
from pathlib import Path

from .address import Address
from .errors import AddressInvalid

__all__ = ["Section", "parse_ini", "read_ini_file"]

MAX_DIGITS = 30  # of a number, before and after its point
_DURATION_RE = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)?")
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, None: 1.0}
_SIZE_RE = re.compile(r"(\d+)\s*(KiB|MiB|B)?")
_BYTES_PER_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, None: 1}
_BOOLEANS = {"yes": True, "true": True, "no": False, "false": False}


def read_ini_file(path, allowed, required, error):
    """Return the sections of an INI file; see :func:`parse_ini`.

    :param allowed: names of the sections that the file may have.
    :param required: names of the sections that it must have.
    :param error: class of the error to raise for an invalid file.
    """
    file = str(path)
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise error(file, "-", "-", str(exc)) from None
    sections = parse_ini(text, file, error)
    for name in sections:
        if name not in allowed:
            raise error(file, name, "-", "unknown section")
    for name in required:
        if name not in sections:
            raise error(file, name, "-", "missing section")
    return sections


def parse_ini(text, file, error):
    """Return the sections of an INI text in the order of the file.

    :param text: the content of the file.
    :param file: the file name for error messages.
    :param error: class of the error to raise, made from file, section, key and
        reason.
    :returns: dict of section name to :class:`Section`.
    """
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=("=",), default_section="\0"
    )
    parser.optionxform = str
    try:
        parser.read_string(text, source=file)
    except configparser.Error as exc:
        section = getattr(exc, "section", None) or "-"
        key = getattr(exc, "option", None) or "-"
        raise error(file, section, key, str(exc).replace("\n", " ")) from None
    return {
        name: Section(file, name, dict(parser[name]), error)
        for name in parser.sections()
    }


class Section:
    """One section of an INI file, read key by key.

    Each ``get_`` method removes its key, so that the keys left over are unknown
    ones; see :meth:`reject_unknown_keys`. A ``get_`` method raises the section's
    error if the key is missing without a default or its value is invalid.
    """

    __slots__ = ("_error", "_values", "file", "name")

    def __init__(self, file, name, values, error):
        self.file = file
        self.name = name
        self._values = values
        self._error = error

    def __iter__(self):
        return iter(self._values)

    def __contains__(self, key):
        return key in self._values

    def copy(self):
        """Return a copy with the keys that are still unread."""
        return Section(self.file, self.name, dict(self._values), self._error)

    def make_error(self, key, reason):
        """Return an error about a key of this section, for the caller to raise."""
        return self._error(self.file, self.name, key, reason)

    def get_text(self, key, default=None):
        """Return the text of a key."""
        value = self._values.pop(key, default)
        if value is None:
            raise self.make_error(key, "missing key")
        return value

    def get_choice(self, key, choices, default=None):
        """Return a text that is one of ``choices``."""
        value = self.get_text(key, default)
        if value not in choices:
            raise self.make_error(key, f"{value!r} is not one of {', '.join(choices)}")
        return value

    def get_list(self, key, default=None):
        """Return the non-empty parts of a comma-separated text as a tuple."""
        value = self.get_text(key, default)
        return tuple(part.strip() for part in value.split(",") if part.strip())

    def get_int(self, key, default=None, low=0, high=2**31):
        """Return a whole number from ``low`` to ``high``."""
        value = self.get_text(key, None if default is None else str(default))
        digits = value.removeprefix("-")
        if not digits.isdecimal():
            raise self.make_error(key, f"{value!r} is not a whole number")
        if len(digits) > MAX_DIGITS:
            raise self.make_error(key, f"more than {MAX_DIGITS} digits")
        return self._check_range(key, int(value), low, high)

    def get_float(self, key, default=None, low=0.0, high=1e12):
        """Return a number from ``low`` to ``high``."""
        value = self.get_text(key, None if default is None else str(default))
        try:
            number = float(value)
        except ValueError:
            raise self.make_error(key, f"{value!r} is not a number") from None
        return self._check_range(key, number, low, high)

    def get_bool(self, key, default=None):
        """Return ``yes``/``true`` as true and ``no``/``false`` as false."""
        value = self.get_text(key, default)
        if value.lower() not in _BOOLEANS:
            raise self.make_error(key, f"{value!r} is not yes, true, no or false")
        return _BOOLEANS[value.lower()]

    def get_duration(self, key, default=None):
        """Return a duration such as ``250ms``, ``5s`` or ``2m`` in seconds."""
        return self._get_scaled(key, default, _DURATION_RE, _SECONDS_PER_UNIT, float)

    def get_size(self, key, default=None):
        """Return a size such as ``64KiB`` in bytes."""
        return self._get_scaled(key, default, _SIZE_RE, _BYTES_PER_UNIT, int)

    def get_address(self, key):
        """Return an ``IP:PORT`` as :class:`~turmericrudder.address.Address`."""
        try:
            return Address.parse(self.get_text(key))
        except AddressInvalid as exc:
            raise self.make_error(key, str(exc)) from None

    def reject_unknown_keys(self):
        """Raise an error for the first key that no ``get_`` method has read."""
        for key in self._values:
            raise self.make_error(key, "unknown key")

    def _get_scaled(self, key, default, pattern, units, number_type):
        value = self.get_text(key, default)
        match = pattern.fullmatch(value)
        if not match:
            raise self.make_error(
                key,
                f"{value!r} is not a number with an optional unit"
                " (durations: ms, s, m, h; sizes: B, KiB, MiB)",
            )
        if len(match[1]) > MAX_DIGITS:
            raise self.make_error(key, f"more than {MAX_DIGITS} digits")
        return number_type(match[1]) * units[match[2]]

    def _check_range(self, key, number, low, high):
        if not low <= number <= high:
            raise self.make_error(key, f"{number} is not in the range {low} to {high}")
        return number
