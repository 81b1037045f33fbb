"""Global traffic steering between callers and upstreams across regions.

Decisions are made by pure code without sockets or clocks; separate tasks do
the I/O. The command line is in ``turmericrudder.cli``, the entry instance (the
proxy process) in ``turmericrudder.daemon``.
"""

from .errors import SteeringError
from .verdict import Verdict

__all__ = ["SteeringError", "Verdict"]
