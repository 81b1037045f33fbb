"""What each example deployment calls its services, for load and demonstration."""

from dataclasses import dataclass

__all__ = ["SCENARIOS", "Scenario"]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Services and paths of a workspace.

    :param clients: {region: IP number of a client in its block}.
    """

    workspace: str
    read: tuple[str, str]
    book: tuple[str, str]
    upload: tuple[str, str]
    pull: tuple[str, str]
    clients: dict[str, str]
    leaving_entry: str
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
        leaving_entry="gulf-a-2",
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
        leaving_entry="kigali-a-2",
        other_entry="musanze-a-1",
        drained_target="catalogue-01",
    ),
}
