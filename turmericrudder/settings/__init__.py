"""Settings of one process, read from its INI file at start."""

from .bounds import BoundSettings
from .entry import EntrySettings, read_entry_settings
from .file import read_settings_or_exit
from .gateway import GatewaySettings, read_gateway_settings
from .limits import LimitSettings
from .machine import MachineSettings
from .operator import OperatorSettings, read_operator_settings
from .timing import TimingSettings

__all__ = [
    "BoundSettings",
    "EntrySettings",
    "GatewaySettings",
    "LimitSettings",
    "MachineSettings",
    "OperatorSettings",
    "TimingSettings",
    "read_entry_settings",
    "read_gateway_settings",
    "read_operator_settings",
    "read_settings_or_exit",
]
