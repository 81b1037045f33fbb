"""Operation keys, each of which runs at most once: their format and tables.

A key belongs to one instance, its *home*, the only one that may run the request. A
second instance, the *witness*, records how the key ended, so that other instances can
find out while the home is unreachable. The package does no I/O.
"""

from .home_table import (
    NOT_RUN,
    AlreadyFinished,
    AlreadyRunning,
    HomeTable,
    KeyState,
    NewKey,
    OutcomeUnknown,
)
from .key import KeyInvalid, KeyPrefix, OperationKey
from .witness_table import WitnessTable

__all__ = [
    "NOT_RUN",
    "AlreadyFinished",
    "AlreadyRunning",
    "HomeTable",
    "KeyInvalid",
    "KeyPrefix",
    "KeyState",
    "NewKey",
    "OperationKey",
    "OutcomeUnknown",
    "WitnessTable",
]
