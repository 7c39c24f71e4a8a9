"""What a fleet needs of the platform's key-value store."""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Delta, Revision
from teaselquay.shells import StoreUnavailable


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes after the asked revision."""

    since: Revision


class SharedStore(Protocol):
    """The operations on the store.

    `calls_by_result` counts them by kind and result.
    """

    calls_by_result: Counter[tuple[str, str]]

    async def read_all(self) -> Result[Delta, StoreUnavailable]:
        """Return every entry, as the change from an empty store."""

    async def changes(
        self,
        since: Revision,
        wait_s: float,
    ) -> Result[Delta, StoreUnavailable | HistoryLost]:
        """Return what was written after `since`.

        Without changes the answer comes after `wait_s` seconds.
        """

    async def register(
        self, record: VmRecord
    ) -> Result[None, StoreUnavailable]:
        """Write where a VM can be found, unless that is known."""
