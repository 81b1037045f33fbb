"""Cancel scopes of the requests in flight, which an instance cancels when it stops."""

import contextlib
import math

import anyio

__all__ = ["RequestScopes"]


class RequestScopes:
    """The open cancel scopes of requests."""

    __slots__ = ("_scopes",)

    def __init__(self):
        self._scopes = set()

    @contextlib.contextmanager
    def open(self, deadline=math.inf):
        """Open a scope, which is cancelled at a deadline or by :meth:`cancel_all`.

        :param deadline: monotonic time.
        """
        with anyio.CancelScope(deadline=deadline) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def cancel_all(self):
        """Cancel the open scopes; the requests are then answered as timed out."""
        for scope in list(self._scopes):
            scope.cancel()
