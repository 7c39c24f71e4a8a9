"""Request framing: length checks, request heads and body parts."""

from typing import Iterable

from teaselquay.decisions import ProblemKind, refuse
from teaselquay.pipeline._exchange import Exchange
from teaselquay.shells import Header

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


def frame_part(part: bytes, is_chunked: bool) -> bytes:
    """Return a part of a body as it is sent, as a chunk if `is_chunked`."""
    if is_chunked:
        return b'%x\r\n%b\r\n' % (len(part), part)
    return part
