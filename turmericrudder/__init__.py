"""Global traffic steering between callers and upstreams across regions.

The package holds the decisions (pure, without sockets or clocks) and the
tasks that carry them out. The command line is in ``turmericrudder.cli``, the
entry instance in ``turmericrudder.daemon``.
"""

from .errors import TurmericrudderError
from .verdict import Verdict

__all__ = ["TurmericrudderError", "Verdict"]
