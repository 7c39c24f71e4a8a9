"""Failures of reading what others wrote."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CatalogFault:
    """A stored value that does not parse, and where it is wrong."""

    key: str
    path: str
    expected: str


class EntryError(ValueError):
    """A stored value does not parse."""

    def __init__(self, fault: CatalogFault) -> None:
        """Report `fault`."""
        super().__init__(
            f'{fault.key}: at {fault.path or "the top"}: {fault.expected}',
        )
        self.fault = fault
