"""Parses and formats operation keys, which name the instance that may run them."""

import re
from dataclasses import dataclass

from ..errors import SteeringError

__all__ = ["KeyInvalid", "KeyPrefix", "OperationKey"]

_NAME = r"[A-Za-z0-9_-]{1,40}"
_PREFIX_RE = re.compile(rf"({_NAME})~({_NAME})~(\d{{1,9}})~({_NAME})?~({_NAME})?")
_KEY_RE = re.compile(r"([A-Za-z0-9_~-]+)\.([A-Za-z0-9_-]{8,64})")


class KeyInvalid(SteeringError):
    """A text is not a valid operation key or key prefix."""


@dataclass(frozen=True, slots=True)
class KeyPrefix:
    """The prefix that the keys of one epoch share; it names their home and witness.

    Only the incarnation of the home that issued the prefix may run its keys. The
    witness is empty if the home could not reach any; other instances cannot find out
    how such keys ended while the home is unreachable.

    :param home_nonce: nonce of the home's incarnation.
    :param epoch: number that the home increases with each new prefix.
    :param witness_nonce: nonce of the witness's incarnation.
    """

    home: str
    home_nonce: str
    epoch: int
    witness: str
    witness_nonce: str

    @classmethod
    def parse(cls, text):
        """Return the prefix in ``HOME~NONCE~EPOCH~WITNESS~WITNESS_NONCE`` form.

        :raises KeyInvalid: if the text has another form.
        """
        match = _PREFIX_RE.fullmatch(text)
        if not match:
            raise KeyInvalid(
                "key prefix is not of the form HOME~NONCE~EPOCH~WITNESS~WITNESS_NONCE"
            )
        home, nonce, epoch, witness, witness_nonce = match.groups(default="")
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
    """A key prefix and the random suffix that identifies one operation."""

    prefix: KeyPrefix
    suffix: str

    @classmethod
    def parse(cls, text):
        """Return the key in ``PREFIX.SUFFIX`` form.

        :raises KeyInvalid: if the text has another form.
        """
        match = _KEY_RE.fullmatch(text)
        if not match:
            raise KeyInvalid("operation key is not of the form PREFIX.SUFFIX")
        return cls(KeyPrefix.parse(match[1]), match[2])

    def __str__(self):
        return f"{self.prefix}.{self.suffix}"
