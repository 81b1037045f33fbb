"""Bounds on what an entry instance holds in memory."""

from dataclasses import dataclass

__all__ = ["LimitSettings"]


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds of tables and bodies.

    ``operation_keys`` counts entries, the ``_bytes`` values are bytes.
    ``outcome_bytes`` is the longest answer body kept for an operation key.
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
