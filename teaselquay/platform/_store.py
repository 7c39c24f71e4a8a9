"""Client of the platform's key-value store."""

from base64 import b64decode, b64encode
from collections import Counter
from typing import Any, Awaitable
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from teaselquay.configuration import VmRecord
from teaselquay.decisions import (
    MAX_ERA,
    NO_REVISION,
    Delta,
    Entry,
    Era,
    Revision,
    era_of,
    number_of,
    revision_at,
)
from teaselquay.fleet import HistoryLost
from teaselquay.platform._decoding import encode_vm, vm_key
from teaselquay.shells import (
    Address,
    ExchangeError,
    JsonAnswer,
    JsonClient,
    StoreUnavailable,
    first_field,
)

#: Timeout of a request, in addition to the time that a watch may wait. It is
#: many times the response time of the store on a slow day.
_REQUEST_TIMEOUT_S = 1.0
_MS_PER_S = 1000
_STATUS_OK = 200
_STATUS_GONE = 410
#: Header of all answers: how often the store was restored from a copy. Older
#: platforms do not send it.
_ERA_HEADER = b'store-era'
#: Failures of a call; deep nesting exhausts the stack of the JSON parser.
_CALL_ERRORS = (ExchangeError, TimeoutError, ValueError, RecursionError)
_MALFORMED_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
#: Matches all keys, those of the operators, the upstreams and this system.
_ALL_KEYS_PREFIX = ''


class PlatformStore:
    """Client that reads all keys of the store, since few of them are unused.

    `calls_by_result` counts the calls by kind and by HTTP status, or 'lost'
    for those without a usable response.
    """

    def __init__(self, address: Address) -> None:
        """Create a client of the store at `address`."""
        self._client = JsonClient(address)
        self.calls_by_result: Counter[tuple[str, str]] = Counter()
        #: The latest era of which this client knows.
        self._era = Era(0)

    async def read_all(self) -> Result[Delta, StoreUnavailable]:
        """Return every entry, as the delta from an empty store.

        The pages are not one snapshot. The delta is complete up to the
        revision of the first page; later changes are read from there on.
        """
        entries: list[Entry] = []
        upto = NO_REVISION
        has_more = True
        while has_more:
            last_key = entries[-1].key if entries else ''
            read = await self._read_page(last_key)
            if isinstance(read, Failure):
                return read
            page, has_more = read.unwrap()
            upto = upto or page.upto
            if era_of(upto) != era_of(page.upto):
                return Failure(StoreUnavailable('restored during a read'))
            entries.extend(page.entries)
        return Success(Delta(NO_REVISION, upto, tuple(entries)))

    async def changes(
        self,
        since: Revision,
        wait_s: float,
    ) -> Result[Delta, StoreUnavailable | HistoryLost]:
        """Return the entries that were written after `since`.

        Without changes, return an empty delta after `wait_s` seconds. After a
        restore from a copy, `since` is of another history, even if the store
        has written as many revisions again.
        """
        self._era = max(self._era, era_of(since))
        query = {
            'prefix': _ALL_KEYS_PREFIX,
            'after': str(number_of(since)),
            'wait-ms': str(int(wait_s * _MS_PER_S)),
        }
        call = self._get('/kv-watch', query, wait_s)
        response = await self._await_response('watch', call)
        if isinstance(response, StoreUnavailable):
            return Failure(response)
        is_restored = era_of(since) < self._era
        if response.status == _STATUS_GONE or is_restored:
            return Failure(HistoryLost(since))
        if response.status != _STATUS_OK:
            return Failure(StoreUnavailable(f'status {response.status}'))
        try:
            delta, _ = _parse_document(response.document, 'events', self._era)
        except _MALFORMED_ERRORS as error:
            return Failure(_malformed(error))
        upto = max(since, delta.upto)
        return Success(Delta(since, upto, delta.entries))

    async def register(
        self, record: VmRecord
    ) -> Result[None, StoreUnavailable]:
        """Write the peer address and the zone of a VM.

        The write is unconditional, since only the VM itself writes its key,
        and a delayed write stores the same value.
        """
        item = {
            'key': vm_key(record),
            'value': b64encode(encode_vm(record)).decode(),
            'lease-id': 0,
        }
        body = {'expect': [], 'writes': [item], 'remove': []}
        call = self._client.call('POST', '/kv-txn', _REQUEST_TIMEOUT_S, body)
        response = await self._await_response('txn', call)
        if isinstance(response, StoreUnavailable):
            return Failure(response)
        if response.status != _STATUS_OK:
            return Failure(StoreUnavailable(f'status {response.status}'))
        return Success(None)

    async def _read_page(
        self,
        last_key: str,
    ) -> Result[tuple[Delta, bool], StoreUnavailable]:
        """Return the entries after `last_key`, and whether there are more."""
        query = {'prefix': _ALL_KEYS_PREFIX}
        if last_key:
            query['after'] = last_key
        page = await self._await_response(
            'range', self._get('/kv-range', query)
        )
        if isinstance(page, StoreUnavailable):
            return Failure(page)
        if page.status != _STATUS_OK:
            return Failure(StoreUnavailable(f'status {page.status}'))
        try:
            delta, has_more = _parse_document(page.document, 'items', self._era)
        except _MALFORMED_ERRORS as error:
            return Failure(_malformed(error))
        return Success((delta, has_more and bool(delta.entries)))

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        wait_s: float = 0,
    ) -> JsonAnswer:
        target = f'{path}?{urlencode(query)}'
        return await self._client.call(
            'GET', target, _REQUEST_TIMEOUT_S + wait_s
        )

    async def _await_response(
        self,
        kind: str,
        call: Awaitable[JsonAnswer],
    ) -> JsonAnswer | StoreUnavailable:
        """Return the response to `call`, or the reason why it is unusable."""
        try:
            response = await call
        except _CALL_ERRORS as error:
            self.calls_by_result[kind, 'lost'] += 1
            return StoreUnavailable(str(error) or 'timeout')
        self.calls_by_result[kind, str(response.status)] += 1
        try:
            self._era = self._parse_era(response)
        except ValueError as error:
            return StoreUnavailable(str(error))
        return response

    def _parse_era(self, response: JsonAnswer) -> Era:
        """Return the era of `response`, the latest one if it names none.

        Raises:
            ValueError: the era is malformed, or earlier than another answer's.
        """
        text = first_field(response.headers, _ERA_HEADER)
        if text is None:
            return self._era
        if not text.isdigit() or int(text) > MAX_ERA:
            raise ValueError(f'malformed era {text!r}')
        era = Era(int(text))
        if era < self._era:
            raise ValueError(f'answer of era {era} after one of {self._era}')
        return era


def _parse_document(
    document: Any,
    field: str,
    era: Era,
) -> tuple[Delta, bool]:
    """Return the entries under `field`, and whether there are more.

    Raises:
        KeyError, TypeError, ValueError: the document is malformed.
    """
    entries = tuple(_parse_entry(item, era) for item in document[field])
    upto = revision_at(era, int(document['at-rev']))
    return Delta(NO_REVISION, upto, entries), document.get('has-more', False)


def _malformed(error: Exception) -> StoreUnavailable:
    return StoreUnavailable(f'malformed document: {error!r}')


def _parse_entry(item: Any, era: Era) -> Entry:
    """Return the entry in `item`; one that was removed has an empty value."""
    revision = revision_at(era, item['rev'])
    if item.get('deleted'):
        return Entry(item['key'], b'', revision)
    return Entry(item['key'], b64decode(item['value']) or b'null', revision)
