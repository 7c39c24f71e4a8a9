"""Reading of HTTP/1.1 messages from a stream, for stand-ins and clients."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """The first line, the fields in lower case, and the body."""

    first: str
    fields: dict[str, str]
    body: bytes = b''
    #: Whether the whole message arrived.
    is_whole: bool = True
    pieces: list[int] = field(default_factory=list)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the fields."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    fields = {name.lower(): text.strip() for name, _, text in pairs}
    return Message(first, fields)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body, as its length or its chunks tell."""
    if 'chunked' in message.fields.get('transfer-encoding', ''):
        while True:
            line = await reader.readline()
            if not line.endswith(b'\n'):
                raise ConnectionResetError
            size = int(line.split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return
            message.body += piece[:-2]
    length = int(message.fields.get('content-length', 0))
    while len(message.body) < length:
        piece = await reader.read(min(65536, length - len(message.body)))
        if not piece:
            raise ConnectionResetError
        message.body += piece


def head_of(first: str, fields: dict[str, str]) -> bytes:
    """Return the bytes of a first line and fields."""
    lines = [first, *(f'{name}: {text}' for name, text in fields.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()
