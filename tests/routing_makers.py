"""Makes configurations with one service for tests of routing."""

from turmericrudder.address import Address
from turmericrudder.configuration import (
    BlockTable,
    Configuration,
    PackedBlocks,
    RequestClass,
    Service,
    Target,
)

SERVICE = Service(
    "reads", "t", (RequestClass("c", "*", "*", False, True, False, 1, 1, 1),), 5, 3,
    {"gulf": 4}, 0.5, 10.0, 2, 0.04, 429, 503, "", "",
)  # fmt: skip


def make_configuration(count):
    """Return a configuration with targets ``t0``, ``t1``, … in one failure domain.

    :param count: number of targets.
    """
    targets = {
        f"t{number}": Target(
            f"t{number}", "reads", "gulf-a", Address("127.0.0.1", 9000 + number)
        )
        for number in range(count)
    }
    return Configuration(
        1, "w", {"gulf-a": "gulf"}, {"gulf-a": 1}, {"reads": SERVICE}, targets,
        BlockTable(PackedBlocks.pack([])), frozenset(), 1_000_000,
    )  # fmt: skip
