"""At most one run per operation key: home and witness, without I/O."""

from .home import (
    NOT_RUN,
    Finished,
    HomeTable,
    KeyState,
    Running,
    Started,
    Undecided,
)
from .key import KeyInvalid, KeyPrefix, OperationKey
from .witness import WitnessTable

__all__ = [
    "NOT_RUN",
    "Finished",
    "HomeTable",
    "KeyInvalid",
    "KeyPrefix",
    "KeyState",
    "OperationKey",
    "Running",
    "Started",
    "Undecided",
    "WitnessTable",
]
