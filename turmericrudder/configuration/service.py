"""A service of a workspace: its template and its parameters, compiled."""

from dataclasses import dataclass

from .request_class import RequestClass

__all__ = ["Service"]


@dataclass(frozen=True, slots=True)
class Service:
    """The configuration of one service.

    :param template: name of the template.
    :param classes: request classes of the template; the first match applies.
    :param slots: concurrent requests per target.
    :param long_slots: slots per target that long requests may hold.
    :param foreign_caps: {region: slots of its targets that foreign requests, those
        of callers whose address is in another region, may hold in total}.
    :param cap_floor: share of a cap, from 0 to 1, that is available without
        previous use.
    :param cap_ramp: seconds of continuous use in which the share grows to 1.
    :param queue_limit: requests that may wait for a slot, per owned target.
    :param queue_timeout: seconds that a request waits for a slot at most.
    :param shed_status: HTTP status by which an upstream sheds a request without
        running it.
    :param drain_status: HTTP status by which a draining upstream does the same,
        0 for none.
    :param load_path: path of the upstream's load report, ``""`` for none.
    :param status_path: path at which the upstream reports whether an operation
        key ran, ``""`` for none.
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
        """Return the first class that matches a request, or ``None``."""
        for request_class in self.classes:
            if request_class.is_match(method, path):
                return request_class
        return None
