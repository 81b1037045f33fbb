"""Exit codes of the command line, one for each kind of failure."""

from enum import IntEnum

from ..errors import (
    ConfigurationInvalid,
    ConfigurationMissing,
    PeerUnreachable,
    RevisionConflict,
    SettingsInvalid,
    StoreRestored,
    StoreUnavailable,
    ValueTooLarge,
)

__all__ = ["ExitCode", "get_exit_code"]


class ExitCode(IntEnum):
    """Exit codes that scripts may rely on; typer uses 2 for wrong arguments."""

    OK = 0
    FAILED = 1
    SETTINGS_INVALID = 3
    CONFIGURATION_INVALID = 4
    REVISION_CONFLICT = 5
    STORE_UNAVAILABLE = 6
    NOT_IN_FORCE = 7
    VALUE_TOO_LARGE = 8
    CONFIGURATION_MISSING = 9
    PEER_UNREACHABLE = 10


_CODES = {
    SettingsInvalid: ExitCode.SETTINGS_INVALID,
    ConfigurationInvalid: ExitCode.CONFIGURATION_INVALID,
    RevisionConflict: ExitCode.REVISION_CONFLICT,
    StoreRestored: ExitCode.STORE_UNAVAILABLE,
    StoreUnavailable: ExitCode.STORE_UNAVAILABLE,
    ValueTooLarge: ExitCode.VALUE_TOO_LARGE,
    ConfigurationMissing: ExitCode.CONFIGURATION_MISSING,
    PeerUnreachable: ExitCode.PEER_UNREACHABLE,
}


def get_exit_code(error):
    """Return the exit code for an error.

    :param error: a :class:`~turmericrudder.errors.SteeringError`.
    """
    return _CODES.get(type(error), ExitCode.FAILED)
