"""The verdict on a request without a response: whether an upstream ran it."""

from enum import Enum

__all__ = ["Verdict"]


class Verdict(Enum):
    """Whether an upstream ran a request.

    ``NOT_RUN`` guarantees that the request did not run and never will, so the
    caller may retry it. ``MAY_HAVE_RUN`` guarantees nothing.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"
