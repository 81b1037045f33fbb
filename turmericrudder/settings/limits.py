"""Bounds on what an entry instance holds in memory."""

from dataclasses import dataclass

__all__ = ["LimitSettings"]


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """The ``[limits]`` section; sizes are in bytes.

    :param operation_keys: number of keys at which a table of operation keys is full.
    :param operation_bytes: size of the kept states at which such a table is full.
    :param outcome_bytes: longest response body kept for an operation key.
    :param head_bytes: largest size of the path and headers of a caller's request.
    :param replay_bytes: size up to which a request or response body is buffered, so
        that a failed attempt can be retried.
    """

    operation_keys: int = 40_000
    operation_bytes: int = 8 * 1024**2
    outcome_bytes: int = 64 * 1024
    head_bytes: int = 32 * 1024
    replay_bytes: int = 64 * 1024

    @classmethod
    def read(cls, section):
        """Return the settings of the ``[limits]`` section."""
        default = cls()
        return cls(
            operation_keys=section.get_int("operation_keys", default.operation_keys, 1),
            **{
                name: section.get_size(name, f"{getattr(default, name)}B")
                for name in cls.__slots__
                if name.endswith("_bytes")
            },
        )
