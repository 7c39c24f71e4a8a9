"""Faults of stored configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CatalogFault:
    """A stored value that does not parse.

    `path` is the position of the first error in the value, `expected` the
    message of the validator.
    """

    key: str
    path: str
    expected: str


class EntryError(ValueError):
    """A stored value does not parse."""

    def __init__(self, fault: CatalogFault) -> None:
        """Raise for `fault`."""
        super().__init__(
            f'{fault.key}: at {fault.path or "the top"}: {fault.expected}',
        )
        self.fault = fault
