"""Settings of a process, validated before it starts."""

import json
from pathlib import Path
from typing import Annotated, Literal, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)
from returns.result import Failure, Result, Success


_MAX_PORT = 65535
_Model = TypeVar('_Model', bound=BaseModel)


def _check_address(text: str) -> str:
    host, colon, port = text.rpartition(':')
    if not colon or not host:
        raise ValueError('expected an IP number and a port, as 10.0.0.1:80')
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'expected a port from 1 to {_MAX_PORT}')
    return text


AddressText = Annotated[str, AfterValidator(_check_address)]
Seconds = Annotated[float, Field(gt=0, le=3600)]
Share = Annotated[float, Field(ge=0, le=1)]


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ListenSettings(_Section):
    """Addresses that a process listens on.

    `peer_advertised` is the address announced to other VMs, if it differs
    from `peer`.
    """

    data: AddressText
    admin: AddressText
    peer: AddressText
    peer_advertised: AddressText | None = None


class PlatformSettings(_Section):
    """Addresses of the platform's services."""

    store: Annotated[list[AddressText], Field(min_length=1)]
    vm_list: AddressText
    store_timeout_s: Seconds = 1.0


class SecuritySettings(_Section):
    """The fleet's secret and the hash of the operators' token."""

    fleet_secret: Annotated[str, Field(min_length=16)]
    operator_token_sha256: Annotated[
        str,
        Field(pattern='^[0-9a-f]{64}$'),
    ]


class DetectionSettings(_Section):
    """Thresholds and times for the ejection of upstreams."""

    threshold: Annotated[float, Field(ge=2, le=100)] = 12.0
    slow_octaves: Annotated[float, Field(ge=0.5, le=8)] = 2.0
    eject_s: Seconds = 5.0
    return_s: Seconds = 5.0


class PolicySettings(_Section):
    """Times, ratios and counts that the decisions use."""

    partitions: Annotated[int, Field(ge=1, le=16384)] = 256
    freshness_s: Seconds = 3.0
    dead_after_s: Seconds = 3.0
    clock_skew_s: Seconds = 0.5
    loan_s: Seconds = 1.0
    idempotency_keep_s: Seconds = 600.0
    pull_period_s: Seconds = 0.25
    read_period_s: Seconds = 0.5
    report_period_s: Seconds = 0.25
    list_period_s: Seconds = 1.0
    drain_s: Seconds = 3.0
    stop_s: Seconds = 30.0
    retry_share: Share = 0.1
    detection: DetectionSettings = DetectionSettings()


class TelemetrySettings(_Section):
    """The log format and the export of traces."""

    log_format: Literal['text', 'json'] = 'text'
    trace_share: Share = 0.01
    trace_file: str | None = None


class Settings(_Section):
    """All settings of one VM."""

    vm: Annotated[str, Field(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
    zone: Annotated[str, Field(min_length=1)]
    listen: ListenSettings
    platform: PlatformSettings
    security: SecuritySettings
    policy: PolicySettings = PolicySettings()
    telemetry: TelemetrySettings = TelemetrySettings()

    @property
    def peer_address(self) -> str:
        """Return the address that is announced to other VMs."""
        return self.listen.peer_advertised or self.listen.peer


class SettingsFault(BaseModel):
    """A fault of a settings file: its place and what was expected."""

    path: str
    expected: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f'{self.path or "the file"}: {self.expected}'


def load_settings(path: Path) -> Result[Settings, list[SettingsFault]]:
    """Return the settings in the file at `path`, or all its faults."""
    try:
        text = path.read_text()
    except OSError as error:
        return Failure([unreadable_fault(error)])
    try:
        document = json.loads(text)
    except json.JSONDecodeError as error:
        where = f'line {error.lineno}, column {error.colno}'
        return Failure([_fault(where, error.msg)])
    return validate_settings(Settings, document)


def unreadable_fault(error: OSError) -> SettingsFault:
    """Return the fault for a file that cannot be read."""
    return _fault('', f'cannot be read: {error.strerror}')


def validate_settings(
    model: type[_Model],
    document: object,
) -> Result[_Model, list[SettingsFault]]:
    """Return `document` as an instance of `model`, or all its faults."""
    try:
        return Success(model.model_validate(document))
    except ValidationError as error:
        return Failure(
            [
                _fault('.'.join(map(str, item['loc'])), item['msg'])
                for item in error.errors()
            ],
        )


def _fault(path: str, expected: str) -> SettingsFault:
    return SettingsFault(path=path, expected=expected)
