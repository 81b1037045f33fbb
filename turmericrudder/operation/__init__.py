"""At most one run per operation key: home and witness, without I/O."""

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
