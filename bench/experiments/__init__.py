"""One module for each matter; each measures against a baseline."""

from . import (
    drain,
    head_of_line,
    operations,
    overload,
    shift_cap,
    slowed,
    speed,
    whole_answers,
)

__all__ = ["EXPERIMENTS"]

EXPERIMENTS = {
    "overload": overload.run,
    "shift_cap": shift_cap.run,
    "head_of_line": head_of_line.run,
    "slowed": slowed.run,
    "operations": operations.run,
    "drain": drain.run,
    "whole_answers": whole_answers.run,
    "speed": speed.run,
}
