"""A bare relay of the same libraries: the baseline of the benchmark."""

import time

import click
import uvicorn

from teaselquay.shells import Address, ConnectionPool, HttpConnection


class BareRelay:
    """Forwards each request to one upstream without any decision."""

    def __init__(self, upstream: Address) -> None:
        """Forward to `upstream`."""
        self._upstream = upstream
        self._pool = ConnectionPool()

    async def __call__(self, scope, receive, send) -> None:
        """Forward one request."""
        connection = self._pool.acquire(self._upstream, time.monotonic())
        if connection is None:
            connection = await HttpConnection.open(self._upstream, 1)
        connection.begin(scope['method'])
        lines = [b'%b: %b' % item for item in scope['headers']]
        target = scope['raw_path']
        start = b'%b %b HTTP/1.1' % (scope['method'].encode(), target)
        request = b'\r\n'.join([start, *lines]) + b'\r\n\r\n'
        await connection.write(request)
        head = await connection.read_head()
        await send(
            {
                'type': 'http.response.start',
                'status': head.status,
                'headers': list(head.headers),
            },
        )
        async for part in connection.read_body():
            await send(
                {
                    'type': 'http.response.body',
                    'body': part,
                    'more_body': True,
                },
            )
        await send({'type': 'http.response.body', 'body': b''})
        self._pool.release(self._upstream, connection, time.monotonic())


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--upstream', required=True)
def main(port: int, upstream: str) -> None:
    """Relay from PORT to the upstream's address."""
    uvicorn.run(
        BareRelay(Address.parse(upstream)),
        host='127.0.0.1',
        port=port,
        loop='asyncio',
        http='httptools',
        lifespan='off',
        log_level='critical',
        access_log=False,
    )


if __name__ == '__main__':
    main()
