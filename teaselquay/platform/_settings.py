"""Settings file that the platform writes for each process."""

import json
from math import inf
from pathlib import Path
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
)
from returns.result import Failure, Result

from teaselquay.decisions import VmName, ZoneName
from teaselquay.gateway import GatewaySettings, HeaderNames
from teaselquay.platform._durations import parse_duration
from teaselquay.shells import (
    Address,
    SettingsFault,
    unreadable_fault,
    validate_settings,
)

#: Port on which the deployment file expects the metrics.
METRICS_PORT = 9464
#: Bandwidth that a coordinator uses for each core that its work takes, in
#: megabits per second: about a thousand placements of a kilobyte each.
MBPS_PER_CORE = 10.0
DIALECT = HeaderNames(
    request_id=b'x-request-id',
    deadline_ms=b'x-deadline-ms',
    api_key=b'x-key',
    team=b'x-tenant',
    expected_upstream=b'x-expect-instance',
    not_executed=b'x-not-executed',
    stamp=b'x-response-stamp',
    rate_limit=b'server-limit',
    leaving=b'server-leaving',
)


def _check_address(text: str) -> str:
    Address.parse(text)
    return text


_AddressText = Annotated[str, AfterValidator(_check_address)]
_BYTES_PER_MB = 1_000_000
_Seconds = Annotated[float, BeforeValidator(parse_duration)]


class _Section(BaseModel):
    # The platform may add fields, and the file already has fields that this
    # process does not use.
    model_config = ConfigDict(extra='ignore', frozen=True)


class _ListenAddrs(_Section):
    front: _AddressText
    ready: _AddressText


class _Bounds(_Section):
    grace: _Seconds
    budget_ratio: float = Field(alias='budget-ratio', default=0.2)
    budget_slack: float = Field(alias='budget-slack', default=20)
    quota_slack: float = Field(alias='quota-slack', default=0)


class _Limits(_Section):
    cpu_share: float = Field(alias='cpu-share', default=1, gt=0)
    cores: float = Field(default=1, gt=0)
    link_mbps: float = Field(alias='link-mbps', default=inf, gt=0)
    memory_mb: int = Field(alias='memory-mb', default=0, ge=0)
    max_fds: int = Field(alias='max-fds', default=0, ge=0)

    def capacity(self) -> float:
        """Return the cores that the processor and the link suffice for."""
        return min(self.cpu_share * self.cores, self.link_mbps / MBPS_PER_CORE)


class _Store(_Section):
    address: _AddressText


class NodeSettings(_Section):
    """Fields of the settings file that the gateway uses."""

    node_name: str = Field(alias='node-name')
    ip: str
    zone: str
    listen_addrs: _ListenAddrs = Field(alias='listen-addrs')
    internal_ports: tuple[int, int] = Field(alias='internal-ports')
    seeds: tuple[_AddressText, ...] = ()
    bounds: _Bounds
    limits: _Limits = _Limits()
    #: Address of the platform's key-value store.
    platform: _Store

    def store_address(self) -> Address:
        """Return the address of the key-value store.

        Raises:
            ValueError: the address is malformed.
        """
        return Address.parse(self.platform.address)

    def to_gateway(
        self,
        metrics_port: int = METRICS_PORT,
    ) -> GatewaySettings:
        """Return the settings of the gateway.

        Raises:
            ValueError: one of the addresses is malformed.
        """
        peer_port = self.internal_ports[0]
        return GatewaySettings(
            vm=VmName(self.node_name),
            zone=ZoneName(self.zone),
            callers=Address.parse(self.listen_addrs.front),
            ready=Address.parse(self.listen_addrs.ready),
            metrics=Address(self.ip, metrics_port),
            peer=Address(self.ip, peer_port),
            # Seeds list the port of another listener on the same VMs.
            seeds=tuple(
                Address(Address.parse(seed).host, peer_port)
                for seed in self.seeds
            ),
            grace_s=self.bounds.grace,
            capacity=self.limits.capacity(),
            repeat_ratio=self.bounds.budget_ratio,
            repeat_slack=self.bounds.budget_slack,
            quota_slack=self.bounds.quota_slack,
            memory_bytes=self.limits.memory_mb * _BYTES_PER_MB,
            max_descriptors=self.limits.max_fds,
        )


def read_settings(path: Path) -> Result[NodeSettings, list[SettingsFault]]:
    """Return the settings in the file at `path`, or all of its errors."""
    try:
        document = json.loads(path.read_bytes())
    except OSError as error:
        return Failure([unreadable_fault(error)])
    except ValueError as error:
        return Failure([SettingsFault(path='', expected=str(error))])
    return validate_settings(NodeSettings, document)
