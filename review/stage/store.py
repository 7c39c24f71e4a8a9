"""Stand-in of the platform's store, as PROTOCOL.md tells of it."""

import asyncio
import json
from base64 import b64decode, b64encode
from typing import Any, Callable
from urllib.parse import parse_qs, urlsplit

from stage.http import head_of, read_body, read_head

_PAGE = 500
_WORDS = {
    200: 'OK',
    403: 'Forbidden',
    404: 'Not Found',
    410: 'Gone',
    412: 'Precondition Failed',
}


class Store:
    """A key-value store with one revision counter and a history."""

    def __init__(self) -> None:
        """Begin with an empty store."""
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        #: Changes a value before it is stored; for links of machines.
        self.rewrite: Callable[[str, bytes], bytes] = lambda _, value: value
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def put(self, key: str, value: bytes) -> None:
        """Write as the operator or a server does."""
        self.revision += 1
        value = self.rewrite(key, value)
        known = self.items.get(key)
        item = {
            'key': key,
            'value': b64encode(value).decode(),
            'rev': self.revision,
            'created-rev': known['created-rev'] if known else self.revision,
            'lease-id': 0,
        }
        self.items[key] = item
        await self._tell(item)

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        if self.items.pop(key, None):
            event = {'key': key, 'rev': self.revision, 'deleted': True}
            await self._tell(event)

    async def _tell(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                method, target, _ = request.first.split()
                split = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(split.query).items()}
                status, document = await self._perform(
                    method, split.path, query, request.body
                )
                text = json.dumps(document).encode()
                fields = {
                    'Content-Type': 'application/json',
                    'Content-Length': str(len(text)),
                }
                first = f'HTTP/1.1 {status} {_WORDS[status]}'
                writer.write(head_of(first, fields) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _perform(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path == '/kv-range':
            return 200, self._range(query)
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'at-rev': self.revision}
            return 200, {**item, 'at-rev': self.revision}
        if path == '/kv-txn' and method == 'POST':
            return await self._change(json.loads(body))
        return 404, {}

    async def _change(self, document: Any) -> tuple[int, Any]:
        keys = [row['key'] for row in document.get('writes', ())]
        keys += document.get('remove', ())
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        expected = document.get('expect', ())
        found = [self.items.get(row['key'], {}) for row in expected]
        for row, item in zip(expected, found):
            if row['rev'] != item.get('rev', 0):
                return 412, {'items': [item for item in found if item]}
        for row in document.get('writes', ()):
            await self.put(row['key'], b64decode(row['value']))
        for key in document.get('remove', ()):
            await self.remove(key)
        return 200, {'rev': self.revision}

    def _range(self, query: dict[str, str]) -> Any:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return {
            'items': found[:_PAGE],
            'has-more': len(found) > _PAGE,
            'at-rev': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query['after']), query.get('prefix', '')
        if after > self.revision:
            return 410, {}

        def found() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event['rev'] > after and event['key'].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query['wait-ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(found)
        except TimeoutError:
            pass
        return 200, {'events': found(), 'at-rev': self.revision}
