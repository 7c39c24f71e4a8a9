"""HTTP protocol of uvicorn with a limit on the size of request heads."""

from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

#: A connection is closed if its request head is longer and still incomplete.
_MAX_INCOMPLETE_HEAD_BYTES = 65536
_HEAD_TOO_LARGE_RESPONSE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Closes connections whose request head exceeds a size limit.

    The parser buffers a head until it is complete, without any limit.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Create a protocol that has not received any head yet."""
        super().__init__(*args, **kwargs)
        self._in_head = False
        self._head_bytes = 0

    def on_message_begin(self) -> None:
        """Start counting the bytes of a request head."""
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0

    def on_headers_complete(self) -> None:
        """Stop counting the bytes of the request head."""
        self._in_head = False
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        """Parse `data`, and respond with 431 if the head is too large."""
        super().data_received(data)
        if not self._in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > _MAX_INCOMPLETE_HEAD_BYTES:
            self.transport.write(_HEAD_TOO_LARGE_RESPONSE)
            self.transport.close()
