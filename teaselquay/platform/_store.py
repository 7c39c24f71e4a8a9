"""Client of the platform's key-value store."""

from base64 import b64decode, b64encode
from collections import Counter
from typing import Any, Awaitable
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Delta, Entry, Revision
from teaselquay.fleet import HistoryLost
from teaselquay.platform._decoding import encode_vm, vm_key
from teaselquay.shells import (
    Address,
    ExchangeError,
    JsonAnswer,
    JsonClient,
    StoreUnavailable,
)

#: Time for an answer in seconds, beside what a watch waits: many times what
#: the store takes on a slow day.
_TIMEOUT_S = 1.0
_MS_PER_S = 1000
_OK = 200
_GONE = 410
#: The operators', the upstreams' and this system's keys: all there are.
_EVERYTHING = ''


class PlatformStore:
    """Reads the whole store, since few of its keys are of no concern."""

    def __init__(self, address: Address) -> None:
        """Use the store at `address`."""
        self._client = JsonClient(address)
        self.calls_by_result: Counter[tuple[str, str]] = Counter()

    async def read_all(self) -> Result[Delta, StoreUnavailable]:
        """Return every entry, as the change from an empty store.

        Pages are not a snapshot: the delta is complete up to the revision
        of the first page, and changes after it follow from there.
        """
        entries: list[Entry] = []
        upto = 0
        after = ''
        while True:
            query = {'prefix': _EVERYTHING}
            if after:
                query['after'] = after
            page = await self._guarded('range', self._get('/kv-range', query))
            if isinstance(page, StoreUnavailable):
                return Failure(page)
            if page.status != _OK:
                return Failure(StoreUnavailable(f'status {page.status}'))
            document = page.document
            upto = upto or document['at-rev']
            entries.extend(map(_entry, document['items']))
            if not document['has-more'] or not document['items']:
                return Success(
                    Delta(Revision(0), Revision(upto), tuple(entries)),
                )
            after = document['items'][-1]['key']

    async def changes(
        self,
        since: Revision,
        wait_s: float,
    ) -> Result[Delta, StoreUnavailable | HistoryLost]:
        """Return what was written after `since`.

        Without changes the answer comes after `wait_s` seconds.
        """
        query = {
            'prefix': _EVERYTHING,
            'after': str(since),
            'wait-ms': str(int(wait_s * _MS_PER_S)),
        }
        call = self._get('/kv-watch', query, wait_s)
        answer = await self._guarded('watch', call)
        if isinstance(answer, StoreUnavailable):
            return Failure(answer)
        if answer.status == _GONE:
            return Failure(HistoryLost(since))
        if answer.status != _OK:
            return Failure(StoreUnavailable(f'status {answer.status}'))
        events = tuple(map(_entry, answer.document['events']))
        upto = max(since, answer.document['at-rev'])
        return Success(Delta(since, Revision(upto), events))

    async def register(
        self, record: VmRecord
    ) -> Result[None, StoreUnavailable]:
        """Write where a VM can be found.

        The write has no condition, since only the VM itself writes its key;
        one that is executed late says the same.
        """
        item = {
            'key': vm_key(record),
            'value': b64encode(encode_vm(record)).decode(),
            'lease-id': 0,
        }
        body = {'expect': [], 'writes': [item], 'remove': []}
        call = self._client.call('POST', '/kv-txn', _TIMEOUT_S, body)
        answer = await self._guarded('txn', call)
        if isinstance(answer, StoreUnavailable):
            return Failure(answer)
        if answer.status != _OK:
            return Failure(StoreUnavailable(f'status {answer.status}'))
        return Success(None)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        wait_s: float = 0,
    ) -> JsonAnswer:
        target = f'{path}?{urlencode(query)}'
        return await self._client.call('GET', target, _TIMEOUT_S + wait_s)

    async def _guarded(
        self,
        kind: str,
        call: Awaitable[JsonAnswer],
    ) -> JsonAnswer | StoreUnavailable:
        """Return the answer, or why there is none that can be used."""
        try:
            answer = await call
        except (ExchangeError, TimeoutError, ValueError) as error:
            self.calls_by_result[kind, 'lost'] += 1
            return StoreUnavailable(str(error) or 'timeout')
        self.calls_by_result[kind, str(answer.status)] += 1
        return answer


def _entry(item: Any) -> Entry:
    """Return an item, or a removal as an entry without a value."""
    if item.get('deleted'):
        return Entry(item['key'], b'', Revision(item['rev']))
    return Entry(
        item['key'],
        b64decode(item['value']) or b'null',
        Revision(item['rev']),
    )
