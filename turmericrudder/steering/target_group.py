"""Targets of one service that are ordered together, for each affinity key.

Rendezvous hashing gives each key an order of the targets, the same on all instances.
The hash of a key and the hash of a target are multiplied, which costs a tenth of a
hash of both; an order of a thousand targets has to be computed within a request.
"""

from heapq import nlargest

from ..rendezvous import get_hash

__all__ = ["TargetGroup"]

_HASH_MASK = 2**64 - 1
_HASH_RANGE = 2.0**64


class TargetGroup:
    """An unchangeable group of targets.

    :ivar targets: tuple of :class:`~turmericrudder.steering.TrackedTarget`.
    """

    __slots__ = ("_hashes", "_inverse_weights", "targets")

    def __init__(self, targets, get_weight):
        """Compute what the orders of all keys have in common.

        :param get_weight: function of a target's id; factor on its slots.
        """
        self.targets = tuple(targets)
        # Odd factors, since an even one would lose bits of the key's hash.
        self._hashes = [get_hash(target.endpoint.id) | 1 for target in self.targets]
        weights = [
            max(1, target.endpoint.slots) * get_weight(target.endpoint.id)
            for target in self.targets
        ]
        # Equal weights are left out, since the power takes time.
        self._inverse_weights = (
            [1.0 / weight for weight in weights] if len(set(weights)) > 1 else None
        )

    def rank(self, key_hash, count):
        """Return the first targets of a key's order, best first.

        A target is first for a share of the keys in proportion to its slots, times its
        weight.

        :param key_hash: :func:`~turmericrudder.rendezvous.get_hash` of the key.
        :param count: how many targets to return at most.
        """
        scores = [key_hash * target_hash & _HASH_MASK for target_hash in self._hashes]
        if self._inverse_weights is not None:
            scores = [
                (score / _HASH_RANGE) ** inverse_weight
                for score, inverse_weight in zip(
                    scores, self._inverse_weights, strict=True
                )
            ]
        targets = self.targets
        best = nlargest(count, range(len(targets)), key=scores.__getitem__)
        return tuple(targets[index] for index in best)
