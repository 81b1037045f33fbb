"""The weights of targets that an instance uses."""

__all__ = ["TargetWeights"]


class TargetWeights:
    """Weights below 1, which are replaced as a whole.

    :ivar revision: number that grows with each change.
    """

    __slots__ = ("_weights", "revision")

    def __init__(self):
        self._weights = {}
        self.revision = 0

    def get(self, target_id):
        """Return the weight of a target, 1 unless it is lowered."""
        return self._weights.get(target_id, 1.0)

    def get_all(self):
        """Return the lowered weights as {target id: weight}."""
        return dict(self._weights)

    def replace(self, weights):
        """Use other weights; return whether they differ.

        :param weights: {target id: weight}.
        """
        if weights == self._weights:
            return False
        self._weights = dict(weights)
        self.revision += 1
        return True
