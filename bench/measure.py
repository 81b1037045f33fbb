"""A measured value with its bound."""

from dataclasses import dataclass

__all__ = ["Measure"]


@dataclass(frozen=True, slots=True)
class Measure:
    """A measured value and the bound that it is checked against.

    :param bound: ``None`` if the value is only reported.
    :param baseline: the value measured with the baseline policy, or ``None``.
    :param at_least: whether the bound is a minimum; otherwise it is a maximum.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    baseline: float | None = None
    at_least: bool = False

    def is_passed(self):
        """Return whether the value is within its bound."""
        if self.bound is None:
            return True
        if self.at_least:
            return self.value >= self.bound
        return self.value <= self.bound

    def format(self, seed):
        """Return the line to print for this measure.

        :param seed: random seed of the run.
        """
        sign = ">=" if self.at_least else "<="
        bound = "-" if self.bound is None else f"{sign}{self.bound:g}"
        baseline = "-" if self.baseline is None else f"{self.baseline:.4g}"
        return (
            f"measure {self.name} value {self.value:.4g} unit {self.unit} "
            f"baseline {baseline} bound {bound} seed {seed} "
            f"{'pass' if self.is_passed() else 'fail'}"
        )
