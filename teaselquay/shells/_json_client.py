"""A client for HTTP calls with JSON bodies over pooled connections."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any, Sequence

from teaselquay.shells._http import (
    MAX_DOCUMENT_BYTES,
    ConnectionPool,
    Header,
    HttpConnection,
)
from teaselquay.shells._peers import Address

#: Time in seconds after which an idle connection is not used again. Successive
#: calls are made at once; one that was kept for longer may be dead, which
#: shows only after a timeout.
MAX_IDLE_S = 0.5


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

    A call whose answer is not read completely closes its connection, so that
    a late answer is not read as that of a later call. Calls are never retried.
    """

    def __init__(self, address: Address) -> None:
        """Create a client of the service at `address`."""
        self.calls = 0
        self._address = address
        self._idle = ConnectionPool(MAX_IDLE_S)

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
            TimeoutError: no answer came in time. The message tells how long
                a reused connection had been idle.
            ValueError: the answer is not JSON.
        """
        self.calls += 1
        connection: HttpConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._acquire(timeout_s)
                return await self._exchange(connection, method, target, body)
        except TimeoutError as error:
            raise TimeoutError(self._describe_timeout(connection)) from error
        finally:
            if connection is not None:
                self._idle.release(self._address, connection, self._now())

    def close(self) -> None:
        """Close the idle connections."""
        self._idle.close()

    def _describe_timeout(self, connection: HttpConnection | None) -> str:
        """Return a message that tells how long `connection` had been idle."""
        if connection is None or not connection.last_used:
            return 'timeout'
        idle_s = self._now() - connection.last_used
        return f'timeout on a connection last used {idle_s:.1f} s ago'

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _acquire(self, timeout_s: float) -> HttpConnection:
        kept = self._idle.acquire(self._address, self._now())
        return kept or await HttpConnection.open(self._address, timeout_s)

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
