"""The exceptions of this package; each is named after its cause."""

from .verdict import Verdict

__all__ = [
    "AddressInvalid",
    "CompareFailed",
    "ConfigurationInvalid",
    "ConfigurationMissing",
    "ConnectFailed",
    "HistoryCompacted",
    "LeaseExpired",
    "LookupInvalid",
    "OperationRejected",
    "PeerUnreachable",
    "RequestRejected",
    "ResponseFailed",
    "RevisionConflict",
    "SettingsInvalid",
    "StoreEntryInvalid",
    "StoreError",
    "StoreOverloaded",
    "StoreResponseTooLarge",
    "StoreRestored",
    "StoreUnavailable",
    "SteeringError",
    "UpstreamCut",
    "ValueTooLarge",
]


class SteeringError(Exception):
    """Base class of all errors of this package."""


class AddressInvalid(SteeringError, ValueError):
    """A text is not an address of the form ``IP:PORT``."""


class _IniFileInvalid(SteeringError):
    """An INI file was rejected.

    :param file: path or name of the file.
    :param section: name of the section, ``-`` if it is not known.
    :param key: the key, ``-`` if the section as a whole is meant.
    :param reason: what is wrong with the value.
    """

    def __init__(self, file, section, key, reason):
        self.file = file
        self.section = section
        self.key = key
        self.reason = reason
        super().__init__(f"{file}: [{section}] {key}: {reason}")


class SettingsInvalid(_IniFileInvalid):
    """The settings file of a process was rejected."""


class ConfigurationInvalid(_IniFileInvalid):
    """A template, parameter or address block file was rejected."""


class ConfigurationMissing(SteeringError):
    """A configuration, or a part of one, does not exist or is not loaded yet."""


class StoreError(SteeringError):
    """A call to the platform's metadata store failed."""


class StoreUnavailable(StoreError):
    """The store gave no usable response; a write may have taken effect."""


class StoreOverloaded(StoreUnavailable):
    """The store rejected a call above its rate limit without effect."""


class StoreResponseTooLarge(StoreUnavailable):
    """The store's response to a call is longer than the client accepts."""


class StoreRestored(StoreError):
    """The store went back to an older copy and lost a part of what was written."""


class HistoryCompacted(StoreError):
    """A watch started at a revision that the store no longer keeps."""


class LeaseExpired(StoreError):
    """A lease was renewed or used after it had expired or been revoked."""


class StoreEntryInvalid(SteeringError):
    """The value of a store entry cannot be decoded."""


class CompareFailed(StoreError):
    """A compare-and-swap found another revision than the expected one."""


class ValueTooLarge(StoreError):
    """A value exceeds the size limit of the store."""


class RevisionConflict(SteeringError):
    """Another operator's revision was accepted first.

    :param revision: number of the revision that is accepted now.
    :param author: name of the operator who submitted it.
    :param note: that operator's description of the change.
    """

    def __init__(self, revision, author, note):
        self.revision = revision
        self.author = author
        self.note = note
        super().__init__(f"revision {revision} by {author} was accepted first: {note}")


class PeerUnreachable(SteeringError):
    """Another instance gave no usable response before the timeout."""


class LookupInvalid(SteeringError):
    """A look-up names an unknown service or an invalid client IP address."""


class RequestRejected(SteeringError):
    """A request gets an error response instead of an upstream's response.

    :param status: HTTP status code for the caller.
    :param reason: short reason, also written to the log.
    :param verdict: whether the request may have run at an upstream.
    :param retry_after: seconds after which the caller may retry, or ``None``.
    """

    def __init__(self, status, reason, verdict=Verdict.NOT_RUN, retry_after=None):
        self.status = status
        self.reason = reason
        self.verdict = verdict
        self.retry_after = retry_after
        super().__init__(f"{status} {reason} ({verdict.value})")


class OperationRejected(RequestRejected):
    """A rejection whose verdict also applies to the request's operation key."""


class ConnectFailed(SteeringError):
    """Connecting to a target failed; nothing was sent."""


class ResponseFailed(SteeringError):
    """A target gave no valid or complete response to a request sent to it."""


class UpstreamCut(SteeringError):
    """The response of an upstream or peer was truncated; a part may be passed on."""
