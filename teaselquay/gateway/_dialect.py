"""Names of the header fields that callers and upstreams use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of header fields, in lower case, as a deployment defines them."""

    #: Identifier of a request, which upstreams send back.
    request_id: bytes = b'x-request-id'
    #: Timeout of the sender, in milliseconds.
    deadline_ms: bytes = b'x-request-timeout-ms'
    #: API key of the caller.
    api_key: bytes = b'x-api-key'
    #: Team that the key belongs to, sent to upstreams.
    team: bytes = b'x-team'
    #: Upstream that a request is addressed to; any other declines it.
    expected_upstream: bytes = b'x-expected-upstream'
    #: Set by an upstream that declined a request and did not run it.
    not_executed: bytes = b'x-not-executed'
    #: Set by upstreams on each answer that they generate.
    stamp: bytes = b'x-answer-stamp'
    #: Requests per second that an upstream takes from all callers together,
    #: as a decimal number, for as long as its answers state it.
    rate_limit: bytes = b'x-rate-limit'
    #: Whether an upstream leaves, as 1 or 0. One that does takes no more
    #: requests.
    leaving: bytes = b'x-leaving'
