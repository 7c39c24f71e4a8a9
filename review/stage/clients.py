"""Clients, as PROTOCOL.md tells of them."""

import asyncio
from dataclasses import dataclass, field
from itertools import count

from stage.http import Message, head_of, read_body, read_head
from stage.record import Record

_NUMBERS = count(1)


@dataclass
class Client:
    """One client attempt after the other at one address."""

    host: str
    port: int
    record: Record
    key: str = ''
    deadline_ms: int = 8000
    _idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(
        default_factory=list
    )

    async def send(
        self,
        target: str,
        method: str = 'GET',
        body: bytes = b'',
        name: str = '',
    ) -> int:
        """Send a request, and return the status, 0 without a whole answer."""
        name = name or f'r{next(_NUMBERS)}'
        pair = self._idle.pop() if self._idle else None
        self.record.add('sent', request=name, to=self.host, target=target)
        answer = None
        try:
            async with asyncio.timeout(self.deadline_ms / 1000 + 1):
                pair = pair or await asyncio.open_connection(
                    self.host, self.port
                )
                reader, writer = pair
                writer.write(self.head(target, method, body, name) + body)
                answer = await read_head(reader)
                await read_body(reader, answer)
        except (OSError, EOFError, TimeoutError) as error:
            self.record.add(
                'answer is not whole',
                request=name,
                reason=repr(error),
                status=answer.status if answer else 0,
                octets=len(answer.body) if answer else 0,
            )
            if pair:
                pair[1].close()
            return 0
        self._note(name, answer)
        if answer.fields.get('connection', '') == 'close':
            writer.close()
        else:
            self._idle.append(pair)
        return answer.status

    def head(self, target: str, method: str, body: bytes, name: str) -> bytes:
        """Return the head of a request."""
        fields = {
            'Host': 'app.example',
            'X-Request-Id': name,
            'X-Deadline-Ms': str(self.deadline_ms),
        }
        if self.key:
            fields['X-Key'] = self.key
        if body:
            fields['Content-Length'] = str(len(body))
        return head_of(f'{method} {target} HTTP/1.1', fields)

    def _note(self, name: str, answer: Message) -> None:
        self.record.add(
            'answered',
            request=name,
            status=answer.status,
            octets=len(answer.body),
            stamp=answer.fields.get('x-response-stamp', ''),
        )
