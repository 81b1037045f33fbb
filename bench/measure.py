"""One measured figure with its bound."""

from dataclasses import dataclass

__all__ = ["Measure"]


@dataclass(frozen=True, slots=True)
class Measure:
    """A figure; with ``at_least`` the bound is a minimum, else a maximum.

    :param baseline: the same figure under the baseline policy, or ``None``.
    :param bound: ``None`` if the figure is only reported.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    baseline: float | None = None
    at_least: bool = False

    def is_passed(self):
        """Return whether the figure keeps its bound."""
        if self.bound is None:
            return True
        if self.at_least:
            return self.value >= self.bound
        return self.value <= self.bound

    def format(self, seed):
        """Return the line that is printed."""
        sign = ">=" if self.at_least else "<="
        bound = "-" if self.bound is None else f"{sign}{self.bound:g}"
        baseline = "-" if self.baseline is None else f"{self.baseline:.4g}"
        return (
            f"measure {self.name} value {self.value:.4g} unit {self.unit} "
            f"baseline {baseline} bound {bound} seed {seed} "
            f"{'pass' if self.is_passed() else 'fail'}"
        )
