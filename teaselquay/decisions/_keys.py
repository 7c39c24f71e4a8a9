"""Detection of an API key in the forms in which it may be copied."""

import re
from base64 import b64decode
from hashlib import sha256
from urllib.parse import unquote_to_bytes

_BASE64_TOKEN = re.compile(rb'[A-Za-z0-9+/_-]{16,}')
_URL_SAFE_TO_STANDARD = bytes.maketrans(b'-_', b'+/')
_BASE64_GROUP = 4


def hash_key(key: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of `key`."""
    return sha256(key).hexdigest()


def carries_key(text: bytes, key: bytes, key_hash: str) -> bool:
    """Return whether `text` contains `key` in any of the usual forms.

    These are plain text, base64, percent-encoding and the hash.

    >>> carries_key(b'Basic eDpteS1zZWNyZXQta2V5', b'my-secret-key', '-')
    True
    >>> carries_key(b'my-secret-k', b'my-secret-key', '-')
    False
    """
    if len(text) < len(key):
        return False
    if key in text or key_hash.encode() in text.lower():
        return True
    if b'%' in text and key in unquote_to_bytes(text):
        return True
    return any(key in decoded for decoded in _decoded_tokens(text))


def _decoded_tokens(text: bytes) -> list[bytes]:
    return [_decode(token) for token in _BASE64_TOKEN.findall(text)]


def _decode(token: bytes) -> bytes:
    standard = token.translate(_URL_SAFE_TO_STANDARD)
    padding = b'=' * (-len(standard) % _BASE64_GROUP)
    try:
        return b64decode(standard + padding)
    except ValueError:
        return b''
