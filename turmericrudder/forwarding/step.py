"""The steps by which a request looks for a slot, and how each ends."""

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

MAX_PEERS = 2


@dataclass(frozen=True, slots=True)
class TargetStep:
    """Claim a slot of a target owned here; ``wait`` allows to queue."""

    wait: bool


@dataclass(frozen=True, slots=True)
class PeerStep:
    """Forward to another owner; ``wait`` allows it to queue."""

    peer: PeerLoad
    wait: bool


@dataclass(frozen=True, slots=True)
class ResponseSent:
    """An answer was passed on."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run.

    :param is_shed: an upstream spent work on refusing it.
    """

    reason: str
    is_shed: bool = False


@dataclass(frozen=True, slots=True)
class RanWithoutResponse:
    """The request ran, but its answer was lost."""

    reason: str


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run."""

    reason: str


def combine_results(earlier, later):
    """Return how a request ended that was tried more than once.

    Once a try may have run, a later refusal does not mean that none did.
    """
    if isinstance(earlier, MayHaveRun) and isinstance(later, NotRun):
        return earlier
    return later


def plan_steps(owns_targets, peers):
    """Return the steps to try in turn while the request is turned away.

    A free slot anywhere near goes before waiting; where nothing is free, the
    wait is at targets of this instance, or else at the nearest peer.

    :param peers: :class:`PeerLoad` in the order of preference.
    """
    steps = [TargetStep(wait=False)] if owns_targets else []
    steps += [
        PeerStep(peer, wait=False) for peer in peers[:MAX_PEERS] if peer.free_slots != 0
    ]
    if owns_targets:
        steps.append(TargetStep(wait=True))
    elif peers:
        steps.append(PeerStep(peers[0], wait=True))
    return steps
