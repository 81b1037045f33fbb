"""Steps in which a request is attempted at targets and peers, and their results.

Each target has a number of slots, one for each request it may run at a time.
One instance, the owner of the target, grants them, and all requests to the
target go through it. Peers are other instances; a request is forwarded to those
that own targets of its service.
"""

from dataclasses import dataclass

from ..routing import PeerLoad

__all__ = [
    "MayHaveRun",
    "NotRun",
    "PeerStep",
    "RanWithoutResponse",
    "ResponseSent",
    "TargetStep",
    "combine_results",
    "plan_steps",
]

MAX_PEERS_TRIED = 2  # per request, before it is queued


@dataclass(frozen=True, slots=True)
class TargetStep:
    """Run the request at a target that this instance owns.

    :param may_queue: whether to wait in the queue if no slot is free.
    """

    may_queue: bool


@dataclass(frozen=True, slots=True)
class PeerStep:
    """Forward the request to another instance that owns targets of the service.

    :param may_queue: whether that instance may queue the request if no slot is
        free.
    """

    peer: PeerLoad
    may_queue: bool


@dataclass(frozen=True, slots=True)
class ResponseSent:
    """A response was written to the caller in full."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run.

    :param reason: short reason for the log and the caller.
    :param is_shed: whether a target received the request and shed it. This costs
        the target work, so a further attempt counts as a retry.
    """

    reason: str
    is_shed: bool = False


@dataclass(frozen=True, slots=True)
class RanWithoutResponse:
    """The request ran, but its response was lost.

    :param reason: short reason for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """It is not known whether the request ran.

    :param reason: short reason for the log and the caller.
    """

    reason: str


def combine_results(earlier, later):
    """Return the result of a request from the results of two of its attempts.

    The later one counts, but if the earlier attempt may have run the request,
    a later one that did not run it does not change that.
    """
    if isinstance(earlier, MayHaveRun) and isinstance(later, NotRun):
        return earlier
    return later


def plan_steps(owns_targets, peers):
    """Return the steps to run in turn until one of them runs the request.

    Targets and peers that may have a free slot come first. If none of them has
    one, the request is queued at this instance's targets or, if it owns none, at
    the first peer.

    :param owns_targets: whether this instance owns targets of the service.
    :param peers: :class:`PeerLoad` of the other owners in order of preference.
    """
    steps = [TargetStep(may_queue=False)] if owns_targets else []
    steps += [
        PeerStep(peer, may_queue=False)
        for peer in peers[:MAX_PEERS_TRIED]
        if peer.free_slots != 0
    ]
    if owns_targets:
        steps.append(TargetStep(may_queue=True))
    elif peers:
        steps.append(PeerStep(peers[0], may_queue=True))
    return steps
