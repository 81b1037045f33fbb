"""A service of a workspace: a template with the workspace's parameters."""

from dataclasses import dataclass

from .request_class import RequestClass

__all__ = ["Service"]


@dataclass(frozen=True, slots=True)
class Service:
    """What an entry instance has to know of a service.

    :param slots: requests that each target runs at once.
    :param long_slots: slots of each target that long work may hold.
    :param foreign_caps: region to slots that work of other home regions may hold.
    :param cap_floor: part of a cap that is in force at once after a pause.
    :param cap_ramp: seconds from the floor to the whole cap.
    :param queue_limit: requests that may wait for a slot, per owned target.
    :param queue_timeout: seconds a request waits at most.
    :param shed_status: status by which an upstream refuses without running.
    :param drain_status: the same from an upstream that is leaving; 0 if none.
    :param status_path: upstream's path that tells whether a key ran, or ``""``.
    """

    name: str
    template: str
    classes: tuple[RequestClass, ...]
    slots: int
    long_slots: int
    foreign_caps: dict[str, int]
    cap_floor: float
    cap_ramp: float
    queue_limit: int
    queue_timeout: float
    shed_status: int
    drain_status: int
    load_path: str
    status_path: str

    def get_request_class(self, method, path):
        """Return the first class that matches, or ``None``."""
        for item in self.classes:
            if item.is_match(method, path):
                return item
        return None
