"""A caller's request, as it is forwarded to a target or to another instance."""

from dataclasses import dataclass

from ..configuration import RequestClass, Service
from ..routing import AdmissionRequest
from .body import RequestBody

__all__ = ["Request"]


@dataclass(frozen=True, slots=True)
class Request:
    """A request with the service and class that determine how it is forwarded.

    :param path: path and query after the service's name, as bytes.
    :param headers: the caller's headers that are forwarded, as (name, value) pairs.
    :param key: operation key as text, empty if there is none.
    """

    method: str
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: RequestBody
    service: Service
    request_class: RequestClass
    admission_request: AdmissionRequest
    key: str = ""

    @property
    def expires(self):
        """Monotonic time of the deadline in seconds."""
        return self.admission_request.expires
