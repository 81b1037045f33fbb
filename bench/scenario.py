"""Services, paths and clients of the example deployments, for load generation."""

from dataclasses import dataclass

__all__ = ["SCENARIOS", "Scenario"]


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a load generator has to know of a workspace.

    :param read: (service, path) of short reads.
    :param book: (service, path) of operations with a key.
    :param upload: (service, path) of uploads.
    :param pull: (service, path) of downloads with long service times.
    :param clients: {region: IP address of a client in a block of the region}.
    :param stopped_entry: entry instance that the demonstration stops.
    :param other_entry: entry instance in another region.
    :param drained_target: target that the demonstration drains.
    """

    workspace: str
    read: tuple[str, str]
    book: tuple[str, str]
    upload: tuple[str, str]
    pull: tuple[str, str]
    clients: dict[str, str]
    stopped_entry: str
    other_entry: str
    drained_target: str


SCENARIOS = {
    "clearsight": Scenario(
        "clearsight",
        read=("lensreader", "/prescriptions"),
        book=("holdbook", "/reservations"),
        upload=("binvault", "/photos"),
        pull=("binvault", "/inventory"),
        clients={
            "gulf": "127.11.0.9",
            "piedmont": "127.12.0.9",
            "delta": "127.13.0.9",
        },
        stopped_entry="gulf-a-2",
        other_entry="delta-a-1",
        drained_target="lensreader-01",
    ),
    "mukamana": Scenario(
        "mukamana",
        read=("catalogue", "/browse"),
        book=("checkout", "/payments"),
        upload=("records", "/papers"),
        pull=("records", "/archive"),
        clients={
            "kigali": "127.21.0.9",
            "huye": "127.22.0.9",
            "musanze": "127.23.0.9",
        },
        stopped_entry="kigali-a-2",
        other_entry="musanze-a-1",
        drained_target="catalogue-01",
    ),
}
