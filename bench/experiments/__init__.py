"""Experiments, one per module.

A module's ``run(seed)`` starts a deployment, offers load and returns a list of
:class:`~bench.measure.Measure`, most of them with a value of a baseline policy.
"""

from . import (
    complete_responses,
    head_of_line,
    operations,
    overload,
    rolling_restart,
    shift_cap,
    slow_targets,
    speed,
)

__all__ = ["EXPERIMENTS"]

EXPERIMENTS = {
    "overload": overload.run,
    "shift_cap": shift_cap.run,
    "head_of_line": head_of_line.run,
    "slowed": slow_targets.run,
    "operations": operations.run,
    "drain": rolling_restart.run,
    "whole_answers": complete_responses.run,
    "speed": speed.run,
}
