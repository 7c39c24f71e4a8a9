"""The interface of the platform's key-value store used by a fleet."""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Delta, Revision
from teaselquay.shells import StoreUnavailable


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store has discarded some changes after revision `since`."""

    since: Revision


class SharedStore(Protocol):
    """The operations on the store.

    `calls_by_result` counts calls by their kind and result.
    """

    calls_by_result: Counter[tuple[str, str]]

    async def read_all(self) -> Result[Delta, StoreUnavailable]:
        """Return every entry, as a delta from an empty store."""

    async def changes(
        self,
        since: Revision,
        wait_s: float,
    ) -> Result[Delta, StoreUnavailable | HistoryLost]:
        """Return the changes written after `since`.

        If there are none, wait for the first one for up to `wait_s` seconds.
        """

    async def register(
        self, record: VmRecord
    ) -> Result[None, StoreUnavailable]:
        """Write the record of a VM, which peers use to locate it."""
