"""How long ago a target handled an object, counted in its other work."""

__all__ = ["RecentKeys"]

MAX_OBJECTS = 512  # objects remembered for one target
MAX_AGE_BITS = 8  # beyond 255 sends an object counts as never seen


class RecentKeys:
    """The objects one target got from this instance, by order of sends."""

    __slots__ = ("_last", "_sends")

    def __init__(self):
        self._last = {}
        self._sends = 0

    def record(self, key):
        """Note that the target handles an object now."""
        self._sends += 1
        self._last.pop(key, None)
        self._last[key] = self._sends
        if len(self._last) > MAX_OBJECTS:
            del self._last[next(iter(self._last))]

    def get_age(self, key):
        """Return the logarithm of the sends since then, or ``None``.

        :returns: 0 to ``MAX_AGE_BITS``.
        """
        last = self._last.get(key)
        if last is None:
            return None
        age = (self._sends - last).bit_length()
        return age if age <= MAX_AGE_BITS else None
