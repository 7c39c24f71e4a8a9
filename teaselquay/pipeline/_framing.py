"""Request framing: length checks, request heads and body parts."""

from typing import Iterable

from teaselquay.decisions import ProblemKind, refuse
from teaselquay.pipeline._exchange import Exchange
from teaselquay.shells import BrokenAnswerError, Header

#: Header fields that are hop-by-hop, or that the proxy sets anew.
NOT_FORWARDED = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


class BodyLengthError(BrokenAnswerError):
    """The body to be sent is not as long as the one that was received."""


class BodyFramer:
    """Frames a request body, and lets only the whole body end properly.

    Chunks are used if `length`, in bytes, is None.
    """

    def __init__(self, length: int | None) -> None:
        """Frame a body of `length` bytes."""
        self._length = length
        self._sent_bytes = 0

    @classmethod
    def from_exchange(cls, exchange: Exchange) -> 'BodyFramer':
        """Return the framer of the body as its caller announced it."""
        length = exchange.header(b'content-length')
        return cls(None if length is None else int(length))

    def frame(self, part: bytes) -> bytes:
        """Return a part of the body as it is sent.

        Raises:
            BodyLengthError: the body is longer than announced.
        """
        self._sent_bytes += len(part)
        if self._length is None:
            return b'%x\r\n%b\r\n' % (len(part), part)
        if self._sent_bytes > self._length:
            raise self._error(self._length)
        return part

    def end(self, received_bytes: int) -> bytes:
        """Return what ends a body of which `received_bytes` were received.

        Raises:
            BodyLengthError: another number of bytes was framed.
        """
        for expected in (received_bytes, self._length):
            if expected not in {self._sent_bytes, None}:
                raise self._error(expected)
        return b'0\r\n\r\n' if self._length is None else b''

    def _error(self, expected_bytes: int | None) -> BodyLengthError:
        return BodyLengthError(
            f'{self._sent_bytes} bytes of a body of {expected_bytes}',
        )


def check_lengths(exchange: Exchange) -> None:
    """Refuse requests whose length or host is ambiguous.

    Raises:
        RefusedError: the length or the host is ambiguous, or the transfer
            coding is not chunked.
    """
    lengths = exchange.header_count(b'content-length')
    codings = exchange.header_count(b'transfer-encoding')
    if lengths > 1 or codings > 1 or (lengths and codings):
        exchange.close_after = True
        raise refuse(
            ProblemKind.BAD_REQUEST,
            'expected one Content-Length or one Transfer-Encoding',
        )
    coding = exchange.header(b'transfer-encoding')
    if coding is not None and coding.strip().lower() != b'chunked':
        exchange.close_after = True
        raise refuse(
            ProblemKind.BAD_REQUEST,
            'expected the transfer coding chunked',
        )
    if exchange.header_count(b'host') != 1:
        raise refuse(ProblemKind.BAD_REQUEST, 'expected one Host field')


def request_head(exchange: Exchange, fields: Iterable[Header]) -> bytes:
    """Return the request line and header section sent to an upstream.

    The Host field is that of the caller; all others are in `fields`.
    """
    target = exchange.scope['raw_path']
    if exchange.scope['query_string']:
        target = target + b'?' + exchange.scope['query_string']
    lines = [
        b'%b %b HTTP/1.1' % (exchange.method.encode(), target),
        b'host: ' + (exchange.header(b'host') or b''),
    ]
    lines.extend(b'%b: %b' % field_pair for field_pair in fields)
    return b'\r\n'.join(lines) + b'\r\n\r\n'
