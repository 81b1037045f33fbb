"""Ranges of the figures that other processes name, and their parsing.

Targets, other instances, the store and clients may name anything. Each figure is
checked where it is decoded, so that no sum, product or message made of it later can
overflow.
"""

import math
from typing import Annotated

import msgspec

__all__ = [
    "MAX_COUNT",
    "MAX_INTEGER",
    "MAX_REVISION",
    "MAX_SECONDS",
    "Count",
    "Milliseconds",
    "NonNegativeCount",
    "NonNegativeInteger",
    "PositiveMilliseconds",
    "PositiveWeight",
    "Revision",
    "Seconds",
    "Weight",
    "parse_decimal",
    "parse_integer",
]

MAX_INTEGER = 10**15  # exact as a float
MAX_REVISION = 2**62  # fits into a message of any codec
MAX_COUNT = 10**6
MAX_SECONDS = 86_400  # a day
MAX_MILLISECONDS = 1000 * MAX_SECONDS
MAX_WEIGHT = 10**6
MIN_WEIGHT = 1e-6  # of a positive weight; its inverse is no infinity
MAX_DIGITS = 32  # of a figure in a header

NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
NonNegativeCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
PositiveMilliseconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_MILLISECONDS)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
PositiveWeight = Annotated[float, msgspec.Meta(ge=MIN_WEIGHT, le=MAX_WEIGHT)]


def parse_integer(text, high):
    """Return the whole number in a header's value, as text or bytes.

    :returns: ``None`` unless it consists of ASCII digits and is at most ``high``.
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    number = int(text)
    return number if number <= high else None


def parse_decimal(text, high):
    """Return the decimal number in the text of a header's value.

    :returns: ``None`` if it is malformed, negative, no finite number or above ``high``.
    """
    if len(text) > MAX_DIGITS or "_" in text:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and 0.0 <= number <= high else None
