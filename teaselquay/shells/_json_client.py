"""A client for HTTP calls with JSON bodies over pooled connections."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any, Sequence

from teaselquay.shells._http import (
    MAX_DOCUMENT_BYTES,
    Header,
    HttpConnection,
)
from teaselquay.shells._peers import Address


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Status, decoded body and header of an answer.

    `document` may be None.
    """

    status: int
    document: Any
    headers: Sequence[Header] = ()


class JsonClient:
    """Sends calls to one address, concurrent ones on separate connections.

    A failed call closes its connection, so that a late answer is not read
    as that of a later call. Calls are never retried.
    """

    def __init__(self, address: Address) -> None:
        """Create a client of the service at `address`."""
        self.calls = 0
        self._address = address
        self._idle: list[HttpConnection] = []

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: Any = None,
    ) -> JsonAnswer:
        """Send a call to `target` and return the answer.

        Raises:
            ExchangeError: the connection failed.
            TimeoutError: no answer came in time.
            ValueError: the answer is not JSON.
        """
        self.calls += 1
        async with asyncio.timeout(timeout_s):
            connection = await self._acquire(timeout_s)
            try:
                answer = await self._exchange(connection, method, target, body)
            except BaseException:
                connection.close()
                raise
        self._idle.append(connection)
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire(self, timeout_s: float) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return await HttpConnection.open(self._address, timeout_s)

    async def _exchange(
        self,
        connection: HttpConnection,
        method: str,
        target: str,
        body: Any,
    ) -> JsonAnswer:
        payload = b'' if body is None else json.dumps(body).encode()
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: {self._address.host}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(payload)}\r\n\r\n'
        )
        connection.begin(method)
        await connection.write(head.encode() + payload)
        answer = await connection.read_head()
        response_body = await connection.read_whole_body(MAX_DOCUMENT_BYTES)
        return JsonAnswer(
            answer.status,
            json.loads(response_body) if response_body else None,
            answer.headers,
        )
