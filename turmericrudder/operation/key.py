"""Operation keys: who may run them, and who witnesses that."""

import re
from dataclasses import dataclass

from ..errors import TurmericrudderError

__all__ = ["KeyInvalid", "KeyPrefix", "OperationKey"]

_NAME = r"[A-Za-z0-9_-]{1,40}"
_PREFIX_RE = re.compile(rf"({_NAME})~({_NAME})~(\d{{1,9}})~({_NAME})?~({_NAME})?")
_KEY_RE = re.compile(r"([A-Za-z0-9_~-]+)\.([A-Za-z0-9_-]{8,64})")


class KeyInvalid(TurmericrudderError):
    """A text is no operation key with a valid prefix."""


@dataclass(frozen=True, slots=True)
class KeyPrefix:
    """Names the one incarnation that may run keys of an epoch.

    The witness is empty if the home found none; such keys cannot be resolved
    by others once the home is out of reach.
    """

    home: str
    home_nonce: str
    epoch: int
    witness: str
    witness_nonce: str

    @classmethod
    def parse(cls, text):
        """Return the prefix written as text.

        :raises KeyInvalid: if it is none.
        """
        found = _PREFIX_RE.fullmatch(text)
        if not found:
            raise KeyInvalid("the prefix has not the form of a look-up answer's")
        home, nonce, epoch, witness, witness_nonce = found.groups(default="")
        return cls(home, nonce, int(epoch), witness, witness_nonce)

    def __str__(self):
        return "~".join(
            (
                self.home,
                self.home_nonce,
                str(self.epoch),
                self.witness,
                self.witness_nonce,
            )
        )


@dataclass(frozen=True, slots=True)
class OperationKey:
    """A prefix and the caller's own random part."""

    prefix: KeyPrefix
    suffix: str

    @classmethod
    def parse(cls, text):
        """Return the key written as ``PREFIX.PART``.

        :raises KeyInvalid: if it is none.
        """
        found = _KEY_RE.fullmatch(text)
        if not found:
            raise KeyInvalid("the key has not the form PREFIX.PART")
        return cls(KeyPrefix.parse(found[1]), found[2])

    def __str__(self):
        return f"{self.prefix}.{self.suffix}"
