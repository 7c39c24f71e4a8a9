"""The admin HTTP interface, for operators and the platform's probes."""

from __future__ import annotations

import hmac
from hashlib import sha256
from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from returns.result import Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from teaselquay.decisions import VmState
from teaselquay.operators import CommandError, Executor

if TYPE_CHECKING:
    from teaselquay.server._process import Process

_BEARER_PREFIX = 'bearer '
_MAX_COMMAND_CHARS = 65536


class Admin:
    """Serves liveness, readiness, metrics and operators' commands."""

    def __init__(self, process: Process) -> None:
        """Create the ASGI application for `process`."""
        self._process = process
        self._executor = Executor(
            process.node,
            process.store,
            process.sync,
            process.ownership,
            process.health,
            process.vm_list,
            process.parts.metrics,
        )
        self.app = Starlette(
            routes=[
                Route('/live', self._live),
                Route('/ready', self._ready),
                Route('/metrics', self._metrics),
                Route('/v1/command', self._command, methods=['POST']),
            ],
        )

    async def _live(self, request: Request) -> Response:
        return JSONResponse({'live': True})

    async def _ready(self, request: Request) -> Response:
        node = self._process.node
        registered_vm = node.catalog.vms.get(node.vm)
        is_registered = (
            registered_vm is not None
            and registered_vm.state is VmState.UP
            and registered_vm.incarnation == node.incarnation
        )
        # No VM can register while the store is unreachable; one whose
        # configuration is as fresh as its peers' serves nevertheless.
        may_serve = is_registered or not node.reached_store()
        is_ready = may_serve and node.is_fresh() and not node.stopping
        return JSONResponse(
            {'ready': is_ready},
            status_code=200 if is_ready else 503,
        )

    async def _metrics(self, request: Request) -> Response:
        registry = self._process.parts.metrics.registry
        return Response(
            generate_latest(registry),
            media_type=CONTENT_TYPE_LATEST,
        )

    async def _command(self, request: Request) -> Response:
        if not self._is_operator(request):
            return JSONResponse(
                {'error': 'the operator token is missing or wrong'},
                status_code=401,
            )
        document = await request.json()
        outcome = await self._executor.run(
            str(document.get('command', ''))[:_MAX_COMMAND_CHARS],
            dry_run=bool(document.get('dry_run', False)),
        )
        if isinstance(outcome, Success):
            return JSONResponse(outcome.unwrap().to_document())
        error: CommandError = outcome.failure()
        return JSONResponse(
            error.to_document(),
            status_code=error.kind.http_status,
        )

    def _is_operator(self, request: Request) -> bool:
        header = request.headers.get('authorization', '')
        if header[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
            return False
        token = header[len(_BEARER_PREFIX) :].strip()
        digest = sha256(token.encode()).hexdigest()
        expected = self._process.settings.security.operator_token_sha256
        return hmac.compare_digest(digest, expected)
