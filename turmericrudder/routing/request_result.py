"""The ways in which a request with a granted slot can end."""

from dataclasses import dataclass

__all__ = ["Cancelled", "Completed", "Failed", "Shed", "Unused"]


@dataclass(frozen=True, slots=True)
class Completed:
    """The target responded; ``latency`` is the seconds until the response head."""

    latency: float


@dataclass(frozen=True, slots=True)
class Shed:
    """The target did not run the request: it was overloaded or draining."""

    is_draining: bool


@dataclass(frozen=True, slots=True)
class Failed:
    """The connection failed, or the response timed out, was truncated or invalid."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller disconnected, or another attempt got a response first."""


@dataclass(frozen=True, slots=True)
class Unused:
    """The slot was released without sending the request."""
