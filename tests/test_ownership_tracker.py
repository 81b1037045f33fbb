"""The owners of targets when the configuration changes."""

from dataclasses import replace
from pathlib import Path

from turmericrudder.configuration import compile_source, read_source
from turmericrudder.daemon.ownership_tracker import OwnershipTracker

SOURCE = read_source(Path(__file__).parent.parent / "examples" / "clearsight")


class EmptyView(list):
    """A membership view without members."""

    def get_live(self):
        return []

    def get_reachable(self):
        return []


def test_owners_follow_a_configuration_with_a_revision_number_used_before():
    first = compile_source(SOURCE, revision=2)
    targets = dict(list(first.targets.items())[1:])
    second = replace(first, targets=targets)
    view = EmptyView()
    tracker = OwnershipTracker("e1")
    tracker.update(first, view)
    previous = tracker.current
    tracker.update(second, view)
    assert tracker.current is not previous
