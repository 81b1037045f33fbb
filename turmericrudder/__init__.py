"""Global traffic steering between callers and upstreams across regions.

Decisions are made by pure code without sockets or clocks; separate tasks do
the I/O. The command line is in ``turmericrudder.cli``. The entry instance, the
proxy process, is in ``turmericrudder.daemon`` for callers with a workspace
configuration, and in ``turmericrudder.gateway`` for the clients of a platform.
"""

from .errors import SteeringError
from .verdict import Verdict

__all__ = ["SteeringError", "Verdict"]
