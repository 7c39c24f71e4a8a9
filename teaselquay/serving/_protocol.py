"""The HTTP protocol towards callers, with a bound on heads."""

from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

#: A head that is not complete by then ends the connection.
_MOST_INCOMPLETE_BYTES = 65536
_ANSWER = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Ends connections whose heads grow without end.

    The parser keeps a head until it is complete and has no bound itself.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Begin before any head."""
        super().__init__(*args, **kwargs)
        self._in_head = False
        self._head_octets = 0

    def on_message_begin(self) -> None:
        """Begin to count."""
        super().on_message_begin()
        self._in_head = True
        self._head_octets = 0

    def on_headers_complete(self) -> None:
        """Stop counting."""
        self._in_head = False
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        """Parse what came, and count it while a head is incomplete."""
        super().data_received(data)
        if not self._in_head:
            return
        self._head_octets += len(data)
        if self._head_octets > _MOST_INCOMPLETE_BYTES:
            self.transport.write(_ANSWER)
            self.transport.close()
