"""Names of the header fields that callers and upstreams use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header fields, in lower case, as the deployment names them."""

    #: Number of one request, which upstreams send back.
    request_id: bytes = b'x-request-id'
    #: Milliseconds that the sender will wait.
    deadline_ms: bytes = b'x-request-timeout-ms'
    #: The caller's key.
    api_key: bytes = b'x-api-key'
    #: The team that the key belongs to, told to upstreams.
    team: bytes = b'x-team'
    #: The upstream that a request is meant for; any other declines it.
    expected_upstream: bytes = b'x-expected-upstream'
    #: Set by an upstream that declined a request and did not run it.
    not_executed: bytes = b'x-not-executed'
    #: Set by upstreams on each answer of their own.
    stamp: bytes = b'x-answer-stamp'
