"""Client for the platform's key-value store (etcd v3 JSON gateway)."""

import asyncio
import json
from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import Any, Protocol, Sequence
from uuid import uuid4

from returns.result import Failure, Result, Success

from teaselquay.decisions import Delta, Entry, Revision
from teaselquay.shells._http import (
    MAX_DOCUMENT_BYTES,
    ExchangeError,
    HttpConnection,
)
from teaselquay.shells._peers import Address

_CONFIG_PREFIX = 'teaselquay/config/'
_OPERATION_PREFIX = 'teaselquay/operations/'
_OPERATION_TTL_S = 3600
_PAGE_ENTRIES = 500
_STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no valid answer; a write may have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The entry has another revision than expected; nothing was written."""

    key: str


@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write of one entry; an empty `value` deletes it.

    `expected` is the revision at which the writer read the entry, 0 if the
    entry did not exist.
    """

    key: str
    value: bytes
    expected: Revision


StoreError = StoreUnavailable | Conflict


class Store(Protocol):
    """The operations of the platform's store that the fleet uses."""

    async def read_since(
        self, since: Revision
    ) -> Result[Delta, StoreUnavailable]:
        """Return the entries written after revision `since`."""

    async def write(
        self,
        writes: Sequence[Write],
    ) -> Result[Revision, StoreError]:
        """Apply all of `writes` or none, and return their revision."""

    async def claim(self, write: Write) -> Result[Revision, StoreError]:
        """Apply a write whose value identifies it; return its revision."""


class EtcdStore:
    """A store that is reached through etcd's JSON gateway.

    A write whose answer was lost is retried with the same operation key.
    The transaction stores that key together with the entries, so that a
    retry finds out whether an earlier try took effect.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        client_name: str,
        timeout_s: float = 1.0,
        write_tries: int = 3,
    ) -> None:
        """Use the first of `addresses`; after a failure use the next."""
        self._addresses = list(addresses)
        self._client_name = client_name
        self._timeout_s = timeout_s
        self._write_tries = write_tries
        self._connection: HttpConnection | None = None
        self._lock = asyncio.Lock()
        self.calls = 0

    async def read_since(
        self, since: Revision
    ) -> Result[Delta, StoreUnavailable]:
        """Return the entries written after `since`, at most one page.

        A page is complete up to its last entry, because entries are sorted
        by revision.
        """
        answer = await self._post('/v3/kv/range', _range_request(since))
        if isinstance(answer, StoreUnavailable):
            return Failure(answer)
        try:
            return Success(_parse_range(answer, since))
        except (KeyError, ValueError, TypeError) as error:
            return Failure(
                StoreUnavailable(f'answer does not parse: {error!r}')
            )

    async def claim(self, write: Write) -> Result[Revision, StoreError]:
        """Apply a write whose value identifies it; return its revision.

        The write is tried once, since the entry shows whether it took effect.
        """
        request = _transaction((write,), '', '0')
        answer = await self._post('/v3/kv/txn', request)
        if isinstance(answer, StoreUnavailable):
            return Failure(answer)
        return _parse_transaction(answer, (write,))

    async def write(
        self,
        writes: Sequence[Write],
    ) -> Result[Revision, StoreError]:
        """Apply all of `writes` or none, and return their revision."""
        operation = f'{_OPERATION_PREFIX}{uuid4()}'
        lease = await self._grant_lease()
        if isinstance(lease, StoreUnavailable):
            return Failure(lease)
        request = _transaction(writes, operation, lease)
        answer: Any = StoreUnavailable('the write was not sent')
        for _ in range(self._write_tries):
            answer = await self._post('/v3/kv/txn', request)
            if not isinstance(answer, StoreUnavailable):
                return _parse_transaction(answer, writes)
        return Failure(answer)

    def close(self) -> None:
        """Close the connection to the store."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _grant_lease(self) -> str | StoreUnavailable:
        answer = await self._post(
            '/v3/lease/grant',
            {'TTL': str(_OPERATION_TTL_S)},
        )
        if isinstance(answer, StoreUnavailable):
            return answer
        return str(answer['ID'])

    async def _post(self, path: str, request: dict[str, Any]) -> Any:
        self.calls += 1
        body = json.dumps(request).encode()
        head = (
            f'POST {path} HTTP/1.1\r\nHost: store\r\n'
            f'User-Agent: teaselquay/{self._client_name}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        async with self._lock:
            try:
                async with asyncio.timeout(self._timeout_s):
                    return await self._exchange(head.encode() + body)
            except (ExchangeError, TimeoutError, ValueError) as error:
                self.close()
                self._addresses.append(self._addresses.pop(0))
                return StoreUnavailable(str(error) or 'timeout')
            except BaseException:
                self.close()
                raise

    async def _exchange(self, request_bytes: bytes) -> Any:
        connection = self._connection
        if connection is None or not connection.reusable:
            self.close()
            connection = await HttpConnection.open(
                self._addresses[0],
                self._timeout_s,
            )
            self._connection = connection
        connection.begin('POST')
        await connection.write(request_bytes)
        head = await connection.read_head()
        body = await connection.read_whole_body(MAX_DOCUMENT_BYTES)
        if head.status != _STATUS_OK:
            raise ValueError(f'status {head.status}')
        return json.loads(body)


def _encode(text: str) -> str:
    return b64encode(text.encode()).decode()


def _prefix_end(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _range_request(since: Revision) -> dict[str, Any]:
    return {
        'key': _encode(_CONFIG_PREFIX),
        'range_end': _encode(_prefix_end(_CONFIG_PREFIX)),
        'min_mod_revision': str(since + 1),
        'sort_target': 'MOD',
        'sort_order': 'ASCEND',
        'limit': str(_PAGE_ENTRIES),
    }


def _parse_range(answer: dict[str, Any], since: Revision) -> Delta:
    entries = tuple(
        Entry(
            b64decode(item['key']).decode()[len(_CONFIG_PREFIX) :],
            b64decode(item.get('value', '')),
            Revision(int(item['mod_revision'])),
        )
        for item in answer.get('kvs', ())
    )
    upto = Revision(int(answer['header']['revision']))
    if answer.get('more') and entries:
        # The next page may hold entries of the same revision as the last one.
        upto = Revision(entries[-1].revision - 1)
        if upto <= since:
            raise ValueError('a transaction has more entries than a page')
    return Delta(since, upto, entries, is_last=not answer.get('more'))


def _compare_revision(write: Write) -> dict[str, Any]:
    return {
        'target': 'MOD',
        'key': _encode(_CONFIG_PREFIX + write.key),
        'mod_revision': str(write.expected),
        'result': 'EQUAL',
    }


def _put(key: str, value: bytes, lease: str = '0') -> dict[str, Any]:
    return {
        'request_put': {
            'key': _encode(key),
            'value': b64encode(value).decode(),
            'lease': lease,
        },
    }


def _transaction(
    writes: Sequence[Write],
    operation: str,
    lease: str,
) -> dict[str, Any]:
    conditions = [_compare_revision(write) for write in writes]
    puts = [_put(_CONFIG_PREFIX + write.key, write.value) for write in writes]
    if not operation:
        return {'compare': conditions, 'success': puts, 'failure': []}
    conditions.append(
        {
            'target': 'MOD',
            'key': _encode(operation),
            'mod_revision': '0',
            'result': 'EQUAL',
        },
    )
    puts.append(_put(operation, b'1', lease))
    return {
        'compare': conditions,
        'success': puts,
        'failure': [{'request_range': {'key': _encode(operation)}}],
    }


def _parse_transaction(
    answer: dict[str, Any],
    writes: Sequence[Write],
) -> Result[Revision, StoreError]:
    if answer.get('succeeded'):
        return Success(Revision(int(answer['header']['revision'])))
    stored_operations = [
        item
        for response in answer.get('responses', ())
        for item in response['response_range'].get('kvs', ())
    ]
    if stored_operations:
        return Success(Revision(int(stored_operations[0]['mod_revision'])))
    return Failure(Conflict(writes[0].key))
