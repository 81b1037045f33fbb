"""What is known about whether a request ran at an upstream."""

from enum import Enum

__all__ = ["Verdict"]


class Verdict(Enum):
    """Whether a request may have run.

    ``NOT_RUN`` is a promise: the request did not run and never will, so the
    caller may send it again. ``MAY_HAVE_RUN`` promises nothing.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"
