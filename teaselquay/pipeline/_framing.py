"""Checks that a request can be read in one way only."""

from teaselquay.decisions import ProblemKind, refuse
from teaselquay.pipeline._exchange import Exchange

#: Fields of a request that concern one connection, or that are set anew.
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
    """Refuse requests whose length or host can be read in two ways.

    Raises:
        RefusedError: there is more than one way.
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
