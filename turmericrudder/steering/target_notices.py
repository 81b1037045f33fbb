"""What a target has said in its responses of the requests that it wants."""

__all__ = ["MAX_PAUSE", "TargetNotices"]

MAX_PAUSE = 300.0  # seconds; a target that asks for longer is asked again then


class TargetNotices:
    """Whether a target leaves, and until when it wants a pause.

    A notice of leaving holds for the rest of the incarnation: its registration may say
    otherwise, as some targets never register that they are draining. A pause holds
    until its end, or until the end of a later one if that is later.

    All times are on the monotonic clock, in seconds.

    :ivar leaving_since: time of the first response that said so, ``None`` without one.
    :ivar paused_until: end of the pause.
    """

    __slots__ = ("leaving_since", "paused_until")

    def __init__(self):
        self.leaving_since = None
        self.paused_until = 0.0

    @property
    def is_leaving(self):
        """Whether the target gets no new requests until its next start."""
        return self.leaving_since is not None

    def record_leaving(self, now):
        """Record that the target leaves.

        :returns: whether this was not known.
        """
        was_leaving = self.is_leaving
        if not was_leaving:
            self.leaving_since = now
        return not was_leaving

    def record_pause(self, seconds, now):
        """Record that the target wants nothing for some seconds.

        :returns: whether no pause was in force.
        """
        was_paused = self.is_paused(now)
        until = now + min(seconds, MAX_PAUSE)
        self.paused_until = max(self.paused_until, until)
        return not was_paused and until > now

    def is_paused(self, now):
        """Return whether the target wants nothing now."""
        return now < self.paused_until
