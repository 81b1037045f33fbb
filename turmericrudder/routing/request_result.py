"""How a granted request ended, as far as the target's state is concerned."""

from dataclasses import dataclass

__all__ = ["Cancelled", "Completed", "Failed", "Shed", "Unused"]


@dataclass(frozen=True, slots=True)
class Completed:
    """The target answered; ``latency`` in seconds to the answer's head."""

    latency: float


@dataclass(frozen=True, slots=True)
class Shed:
    """The target refused without running the request."""

    is_draining: bool


@dataclass(frozen=True, slots=True)
class Failed:
    """No connection, no answer in time, or a broken answer."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller went away, or another attempt was faster."""


@dataclass(frozen=True, slots=True)
class Unused:
    """Nothing was sent."""
