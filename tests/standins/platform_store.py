"""Stand-in of the platform's key-value store, with its faults."""

import asyncio
import json
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.standins.listener import Listener

_PAGE = 3


@dataclass
class PlatformStoreStandIn(Listener):
    """Answers the calls that the product makes, over real sockets.

    `answers` lists statuses that the next calls get instead; 0 stands for
    an answer that is lost after the call took effect.
    """

    revision: int = 1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    compacted: int = 0
    #: Number of restores, sent with all answers unless it is None.
    era: int | None = None
    answers: list[int] = field(default_factory=list)
    calls: list[str] = field(default_factory=list)
    _changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    _connections: set[asyncio.StreamWriter] = field(default_factory=set)
    _silent: set[asyncio.StreamWriter] = field(default_factory=set)

    def silence_connections(self) -> None:
        """Answer nothing more on the open connections; new ones work."""
        self._silent |= self._connections

    async def put(self, key: str, value: bytes) -> int:
        """Write a value as the operator or an upstream does."""
        self.revision += 1
        item = {
            'key': key,
            'value': b64encode(value).decode(),
            'rev': self.revision,
            'created-rev': self.revision,
            'lease-id': 0,
        }
        self.items[key] = item
        await self._tell(item)
        return self.revision

    async def remove(self, key: str) -> int:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        await self._tell({'key': key, 'rev': self.revision, 'deleted': True})
        return self.revision

    def restore(self, copy: dict[str, dict[str, Any]], revision: int) -> None:
        """Come back from `copy`, which was taken at `revision`."""
        self.items = dict(copy)
        self.revision = revision
        self.events = [item for item in self.events if item['rev'] <= revision]
        self.era = (self.era or 0) + 1

    async def _tell(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer the requests of one connection."""
        self._connections.add(writer)
        try:
            while True:
                await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            # The loop ends while a watch is waiting.
            writer.close()
        finally:
            self._connections.discard(writer)
            self._silent.discard(writer)

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        method, target, _ = head.split('\r\n', 1)[0].split()
        length = int(head.lower().partition('content-length: ')[2].split()[0])
        body = await reader.readexactly(length)
        split = urlsplit(target)
        self.calls.append(split.path)
        query = {
            name: found[0] for name, found in parse_qs(split.query).items()
        }
        forced = self.answers.pop(0) if self.answers else None
        if forced:
            status, document = forced, None
        else:
            status, document = await self._perform(split.path, query, body)
        if forced == 0:
            writer.transport.abort()
            raise ConnectionError
        text = b'' if document is None else json.dumps(document).encode()
        era = b'' if self.era is None else b'Store-Era: %d\r\n' % self.era
        if writer in self._silent:
            return
        writer.write(
            b'HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b'
            % (status, era, len(text), text),
        )

    async def _perform(
        self,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> tuple[int, Any]:
        if path == '/kv-range':
            return 200, self._range(query)
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-txn':
            for write in json.loads(body)['writes']:
                await self.put(write['key'], b64decode(write['value']))
            return 200, {'rev': self.revision}
        return 404, None

    def _range(self, query: dict[str, str]) -> Any:
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        ]
        return {
            'items': found[:_PAGE],
            'has-more': len(found) > _PAGE,
            'at-rev': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query['after'])
        if after < self.compacted or after > self.revision:
            return 410, None
        wait_s = int(query['wait-ms']) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._since(after))
        except TimeoutError:
            pass
        return 200, {'events': self._since(after), 'at-rev': self.revision}

    def _since(self, after: int) -> list[dict[str, Any]]:
        return [event for event in self.events if event['rev'] > after]
