"""The exception tree. Every error is named after its cause."""

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
    "StoreUnavailable",
    "TurmericrudderError",
    "UpstreamCut",
    "ValueTooLarge",
]


class TurmericrudderError(Exception):
    """Base of all errors of this package."""


class AddressInvalid(TurmericrudderError, ValueError):
    """A text is not ``IP:PORT``."""


class _DocumentInvalid(TurmericrudderError):
    """An INI file was refused: where, and for what reason."""

    def __init__(self, file, section, key, reason):
        self.file = file
        self.section = section
        self.key = key
        self.reason = reason
        super().__init__(f"{file}: [{section}] {key}: {reason}")


class SettingsInvalid(_DocumentInvalid):
    """The settings file of a process was refused."""


class ConfigurationInvalid(_DocumentInvalid):
    """A template, parameter or block file was refused."""


class ConfigurationMissing(TurmericrudderError):
    """No configuration has been accepted, or none is known here yet."""


class StoreError(TurmericrudderError):
    """The platform's key-value service did not do what was asked."""


class StoreUnavailable(StoreError):
    """No answer came; a write may or may not have taken effect."""


class StoreOverloaded(StoreUnavailable):
    """The call was over the store's rate and did nothing."""


class HistoryCompacted(StoreError):
    """A watch asked for changes that the store no longer keeps."""


class LeaseExpired(StoreError):
    """A lease was renewed or used after its end."""


class StoreEntryInvalid(TurmericrudderError):
    """A value in the store is not what its key should hold."""


class CompareFailed(StoreError):
    """A compare-and-swap met another version than the expected one."""


class ValueTooLarge(StoreError):
    """A value exceeds what the service holds."""


class RevisionConflict(TurmericrudderError):
    """Another operator's revision was accepted in between."""

    def __init__(self, revision, author, note):
        self.revision = revision
        self.author = author
        self.note = note
        super().__init__(f"revision {revision} by {author} came first: {note}")


class PeerUnreachable(TurmericrudderError):
    """Another instance did not answer within the time given."""


class LookupInvalid(TurmericrudderError):
    """A look-up names an unknown service or no IP address."""


class RequestRejected(TurmericrudderError):
    """A request ends here with a verdict instead of an upstream's answer.

    :param status: HTTP status code for the caller.
    :param reason: short reason, also written to the log.
    :param verdict: whether the request may have run.
    :param retry_after: seconds after which to try again, or ``None``.
    """

    def __init__(self, status, reason, verdict=Verdict.NOT_RUN, retry_after=None):
        self.status = status
        self.reason = reason
        self.verdict = verdict
        self.retry_after = retry_after
        super().__init__(f"{status} {reason} ({verdict.value})")


class OperationRejected(RequestRejected):
    """A refusal by an instance that knows how the operation key ended."""


class ConnectFailed(TurmericrudderError):
    """A connection to a target did not come about; nothing was sent."""


class ResponseFailed(TurmericrudderError):
    """A connection to a target gave no proper answer to what was sent."""


class UpstreamCut(TurmericrudderError):
    """An upstream's answer broke off after its head was passed on."""
