"""Encoding of the messages between the VMs of a fleet.

A datagram is a truncated HMAC, a byte for the compression, and a packed
Cap'n Proto message.
"""

import hmac
import zlib
from pathlib import Path
from typing import Any, Mapping

import capnp

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name('messages.capnp')))

_MAC_BYTES = 16
_HASH_NAME = 'sha256'
#: Values of the byte after the HMAC: whether the rest is compressed.
_UNCOMPRESSED = b'\0'
_DEFLATED = b'\1'
#: Shorter messages are sent uncompressed: compression takes more time than
#: it saves in sending them.
_MIN_DEFLATED_BYTES = 1024
#: The fastest level, which saves two thirds or more of entries, as text.
_DEFLATE_LEVEL = 1
#: Limit for a decompressed message, a multiple of the longest one sent.
_MAX_INFLATED_BYTES = 1 << 20

#: Fields of a message by their names in the schema.
Fields = Mapping[str, Any]


class MessageError(ValueError):
    """A datagram is not a valid message of this fleet."""


class Codec:
    """Encodes, decodes and authenticates messages."""

    def __init__(self, secret: bytes) -> None:
        """Authenticate with `secret`, which all VMs of the fleet share."""
        self._secret = secret

    def encode(
        self,
        sender: str,
        incarnation: int,
        call: int,
        kind: str,
        fields: Fields | None,
    ) -> bytes:
        """Return the datagram of a message of `kind` with `fields`."""
        message = _SCHEMA.Envelope.new_message(
            sender=sender,
            incarnation=incarnation,
            call=call,
            **{kind: fields},
        )
        payload = _deflate(message.to_bytes_packed())
        return self._mac(payload) + payload

    def decode(self, datagram: bytes) -> Any:
        """Return the message in `datagram`.

        Raises:
            MessageError: the datagram is not authentic or does not parse, or
                its kind is unknown, as that of a newer version may be.
        """
        mac = datagram[:_MAC_BYTES]
        payload = datagram[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise MessageError('the datagram has a wrong MAC')
        try:
            message = _SCHEMA.Envelope.from_bytes_packed(_inflate(payload))
            # Raises an exception of the library if the kind is unknown.
            message.which()
        except Exception as error:
            raise MessageError('the datagram cannot be decoded') from error
        return message

    def _mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._secret, payload, _HASH_NAME)[:_MAC_BYTES]


def _deflate(packed: bytes) -> bytes:
    if len(packed) < _MIN_DEFLATED_BYTES:
        return _UNCOMPRESSED + packed
    return _DEFLATED + zlib.compress(packed, _DEFLATE_LEVEL)


def _inflate(payload: bytes) -> bytes:
    if payload[:1] == _UNCOMPRESSED:
        return payload[1:]
    inflater = zlib.decompressobj()
    packed = inflater.decompress(payload[1:], _MAX_INFLATED_BYTES)
    if not inflater.eof:
        raise MessageError('the datagram is too long or truncated')
    return packed
