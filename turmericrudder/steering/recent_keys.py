"""Affinity keys that one target received recently."""

__all__ = ["RecentKeys"]

MAX_KEYS = 512  # keys remembered for one target
MAX_AGE_BITS = 8  # after more than 255 further requests a key counts as unseen


class RecentKeys:
    """Affinity keys that this instance sent to one target, by order of requests.

    The age of a key is counted in requests, since requests with other keys displace
    the key's data from the target's caches.
    """

    __slots__ = ("_last_sent", "_sent_count")

    def __init__(self):
        self._last_sent = {}  # key -> value of _sent_count, oldest first
        self._sent_count = 0

    def record(self, key):
        """Record that a request with the key is sent now."""
        self._sent_count += 1
        self._last_sent.pop(key, None)
        self._last_sent[key] = self._sent_count
        if len(self._last_sent) > MAX_KEYS:
            del self._last_sent[next(iter(self._last_sent))]

    def get_age(self, key):
        """Return the bit length of the number of requests sent since the key's last.

        :returns: 0 to ``MAX_AGE_BITS``, or ``None`` for an unknown or older key.
        """
        last = self._last_sent.get(key)
        if last is None:
            return None
        age = (self._sent_count - last).bit_length()
        return age if age <= MAX_AGE_BITS else None
