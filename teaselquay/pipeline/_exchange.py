"""One request and its response in the pipeline."""

import json
from dataclasses import dataclass, field
from typing import (
    TYPE_CHECKING,
    Any,
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    MutableMapping,
)

from teaselquay.decisions import (
    AttemptId,
    Instant,
    Problem,
    ProblemKind,
    RouteName,
    Run,
    ServiceName,
    TeamName,
    refuse,
)
from teaselquay.shells import Header, first_field

if TYPE_CHECKING:
    from teaselquay.decisions import Route, Team

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
EndHook = Callable[['Exchange'], None]

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'teaselquay-leaving',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


def _format_whole_seconds(seconds: float) -> str:
    return str(max(1, int(seconds + 1)))


class CallerGoneError(Exception):
    """The caller closed its connection before the exchange ended."""


class BodyDroppedError(Exception):
    """Parts of the request body that are still to be sent are not held."""


@dataclass(slots=True)
class Exchange:
    """A request, the results of the filters, and the state of its response.

    `run_state` is what is known about whether the request ran at an upstream.
    """

    scope: Scope
    receive: Receive
    send: Send
    began: Instant
    method: str
    path: str
    headers: list[Header]
    team_name: TeamName = TeamName('')
    team: 'Team | None' = None
    key: bytes = b''
    route_name: RouteName = RouteName('')
    route: 'Route | None' = None
    service: ServiceName = ServiceName('')
    deadline: Instant = Instant(0.0)
    idempotency_key: str = ''
    attempt_id: AttemptId = AttemptId(0)
    fingerprint: bytes = b''
    run_state: Run = Run.NOT_RUN
    status: int = 0
    body: bytes = b''
    #: Whether the whole request body has been received.
    body_complete: bool = False
    answer_started: bool = False
    close_after: bool = False
    traceparent: str = ''
    _end_hooks: list[EndHook] = field(default_factory=list)
    received_body_bytes: int = 0
    _is_body_streamed: bool = False

    @classmethod
    def from_scope(
        cls,
        scope: Scope,
        receive: Receive,
        send: Send,
        began: Instant,
        close_after: bool,
    ) -> 'Exchange':
        """Return the exchange for one call of the ASGI application."""
        return cls(
            scope=scope,
            receive=receive,
            send=send,
            began=began,
            method=scope['method'],
            path=scope['path'],
            headers=list(scope['headers']),
            close_after=close_after,
        )

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header field `name`, or None."""
        return first_field(self.headers, name)

    def header_count(self, name: bytes) -> int:
        """Return the number of header fields called `name`."""
        return sum(1 for found, _ in self.headers if found == name)

    def add_end_hook(self, hook: EndHook) -> None:
        """Call `hook` when the exchange ends, whether it succeeds or fails."""
        self._end_hooks.append(hook)

    def end(self) -> None:
        """Call the end hooks in reverse order of registration."""
        while self._end_hooks:
            self._end_hooks.pop()(self)

    def has_body(self) -> bool:
        """Return whether the request carries a body."""
        length = self.header(b'content-length')
        if length is not None:
            return int(length) > 0
        return self.header(b'transfer-encoding') is not None

    def can_replay(self) -> bool:
        """Return whether `body` is the whole request body."""
        return self.body_complete and not self._is_body_streamed

    async def buffer_body(self, max_bytes: int) -> bool:
        """Read the body into `body`, and return whether it is complete.

        Reading stops once `body` holds `max_bytes` or more.

        Raises:
            CallerGoneError: the caller disconnected before its body ended.
            RefusedError: the body is larger than the route allows.
        """
        if not self.has_body():
            self.body_complete = True
            return True
        body_parts = [self.body]
        size = len(self.body)
        while not self.body_complete and size < max_bytes:
            part = await self._receive_part()
            body_parts.append(part)
            size += len(part)
        self.body = b''.join(body_parts)
        return self.body_complete

    async def read_remaining_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body that follow the buffered ones, once.

        Raises:
            BodyDroppedError: they have been read before, and are not held.
            CallerGoneError: the caller disconnected before its body ended.
            RefusedError: the body is larger than the route allows.
        """
        if self._is_body_streamed:
            raise BodyDroppedError
        self._is_body_streamed = True
        while not self.body_complete:
            yield await self._receive_part()

    async def wait_disconnected(self) -> None:
        """Wait until the caller has closed its connection."""
        while True:
            message = await self.receive()
            if message['type'] == 'http.disconnect':
                return

    async def start_answer(
        self,
        status: int,
        headers: list[Header],
    ) -> None:
        """Send the response head without its hop-by-hop header fields."""
        kept = [item for item in headers if item[0] not in _HOP_BY_HOP]
        if self.close_after:
            kept.append((b'connection', b'close'))
        self.status = status
        self.answer_started = True
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': kept,
            },
        )

    async def send_body(self, part: bytes, more: bool) -> None:
        """Send a part of the response body."""
        await self.send(
            {'type': 'http.response.body', 'body': part, 'more_body': more},
        )

    async def send_problem(
        self,
        refusal: Problem,
        extra_headers: Iterable[Header] = (),
        format_seconds: Callable[[float], str] = _format_whole_seconds,
    ) -> None:
        """Send a problem document as the whole response.

        `format_seconds` formats the value of the Retry-After header field.
        """
        document = json.dumps(refusal.to_document()).encode()
        headers = [
            (b'content-type', b'application/problem+json'),
            (b'content-length', str(len(document)).encode()),
            *extra_headers,
        ]
        if refusal.retry_after_s is not None:
            seconds = format_seconds(refusal.retry_after_s)
            headers.append((b'retry-after', seconds.encode()))
        if self.has_body() and not self.body_complete:
            # The rest of the request body will not be read.
            self.close_after = True
        await self.start_answer(refusal.status, headers)
        await self.send_body(document, more=False)

    async def _receive_part(self) -> bytes:
        message = await self.receive()
        if message['type'] == 'http.disconnect':
            raise CallerGoneError
        part = message.get('body', b'')
        self.body_complete = not message.get('more_body', False)
        self.received_body_bytes += len(part)
        if self.route and self.received_body_bytes > self.route.max_body_bytes:
            raise refuse(
                ProblemKind.BODY_TOO_LARGE,
                f'the route takes {self.route.max_body_bytes} bytes',
            )
        return part
