"""The shape of the settings file and of the configuration documents, with bounds and defaults.

The settings belong to one VM and come from its file. The configuration belongs to all VMs: it lives in the platform's
key-value service, and a settings file may carry a first one.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9]([A-Za-z0-9._-]{0,62}[A-Za-z0-9])?$")]
Port = Annotated[int, Meta(ge=0, le=65535)]
Address = Annotated[str, Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$", description="IPv4 address and port")]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Labels = dict[Name, Annotated[str, Meta(max_length=63)]]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$", description="SHA-256, as 64 hexadecimal digits")]


class Checked(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, omit_defaults=True):
    """Base of all settings: immutable, and an unknown key is an error."""


class Tls(Checked, frozen=True):
    """Files of a certificate, its key, and the authorities that the other side must be signed by."""

    certificate: str
    key: str
    authorities: str | None = None


class Caller(Checked, frozen=True):
    """Where callers connect."""

    host: str = "127.0.0.1"
    port: Port = 8080
    tls: Tls | None = None


class Token(Checked, frozen=True):
    """One operator's right to use the admin API."""

    operator: Name
    digest: Digest
    workspaces: list[str] = field(default_factory=lambda: ["*"])
    verbs: list[Literal["read", "write"]] = field(default_factory=lambda: ["read"])


class Admin(Checked, frozen=True):
    """Where operators connect, and who may."""

    host: str = "127.0.0.1"
    port: Port = 8081
    tls: Tls | None = None
    tokens: list[Token] = field(default_factory=list)
    """Empty: anybody may, which is allowed on loopback addresses only."""


class Peer(Checked, frozen=True):
    """Where the other entry VMs connect, and where to find the first of them."""

    host: str = "127.0.0.1"
    port: Port = 0
    advertised: Address | None = None
    """Where the others reach this VM, if not at host and port."""
    seeds: list[Address] = field(default_factory=list)
    tls: Tls | None = None
    insecure: bool = False
    """Allow addresses other than loopback without TLS."""


class Platform(Checked, frozen=True):
    """The platform's services."""

    kv: Address | None = None
    vm_list: Address | None = None


class Limits(Checked, frozen=True):
    """Bounds of one VM; over a bound the answer is immediate and nothing is held."""

    body_bytes: Count = 8 * 1024 * 1024
    header_bytes: Count = 16 * 1024
    open_requests: Count = 4000
    queued_requests: Count = 1000
    stream_bytes: Count = 2 * 1024 * 1024
    """How much of one answer is kept so that it can be continued on another engine."""
    unsent_bytes: Count = 256 * 1024
    """How much may wait for a slow reader before the engine's stream is paused."""
    records: Count = 100_000
    record_bytes: Count = 32 * 1024 * 1024
    answer_bytes: Count = 64 * 1024
    """The longest answer that is kept for a repeat of its key."""
    mailbox: Count = 10_000


class Timing(Checked, frozen=True):
    """Periods and time limits, in seconds."""

    receive_limit: Seconds = 30
    """How long a caller may take to send one request."""
    stall_limit: Seconds = 10
    """How long a caller may read nothing while data waits for it."""
    connect_limit: Seconds = 1
    prefill_limit: Seconds = 30
    first_frame_limit: Seconds = 5
    """How long a decode engine may take from the order to its first frame; beyond it the transfer has stalled."""
    frame_limit: Seconds = 10
    service_limit: Seconds = 30
    load_period: Seconds = 0.25
    load_age_limit: Seconds = 3
    """An upstream whose report is older gets no new work."""
    vm_list_period: Seconds = 0.5
    balancer_delay: Seconds = 1
    """How long a planned stop still takes new requests after it became not ready."""
    stop_limit: Seconds = 60
    probe_period: Seconds = 0.5
    probe_timeout: Seconds = 0.3
    suspicion: Seconds = 1.5
    pause_limit: Seconds = 1.2
    """A process that stood still for longer takes itself as superseded."""
    record_retention: Seconds = 600
    record_limit: Seconds = 1
    """How long the holders of a key may take to record it."""
    config_poll: Seconds = 5
    kv_limit: Seconds = 1
    cancel_retry: Seconds = 0.2


class Log(Checked, frozen=True):
    """How the log is written."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Traces(Checked, frozen=True):
    """Where spans go and how many are kept."""

    otlp: str | None = None
    """URL of an OTLP/HTTP collector, for example http://127.0.0.1:4318/v1/traces."""
    kept: Count = 500
    sampled: Share = 1


# --- configuration ----------------------------------------------------------------------------------------------------


class Upstream(Checked, frozen=True):
    """One engine, or one replica of a plain service."""

    name: Name
    address: Address
    hall: Name
    role: Literal["prefill", "decode", "service"]
    labels: Labels = field(default_factory=dict)
    capacity_tokens: Count = 100_000
    """KV tokens that fit its memory, until its own report says so."""
    prefill_rate: Annotated[float, Meta(gt=0)] = 10_000
    """Prompt tokens a second, until measured."""
    link_rate: Annotated[float, Meta(gt=0)] = 100_000
    """KV tokens a second over its link."""


class Pool(Checked, frozen=True, tag_field="kind", tag="pool"):
    """The upstreams that serve one model, or one plain service."""

    name: Name
    model: str | None = None
    service: Name | None = None
    labels: Labels = field(default_factory=dict)
    upstreams: list[Upstream] = field(default_factory=list)
    repeatable: bool | None = None
    """Whether its calls may be sent again, where the caller does not say; none leaves it to the workspace."""


class Workspace(Checked, frozen=True, tag_field="kind", tag="workspace"):
    """One customer: its weight, limits and defaults."""

    name: Name
    api_keys: list[Digest] = field(default_factory=list)
    """Digests of the keys that callers present; empty: any caller may name the workspace."""
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1
    priority: Literal["high", "normal", "low"] = "normal"
    concurrency: Count = 1000
    rate: Annotated[float, Meta(gt=0)] = 1000
    """Requests a second, with a burst of one second's worth."""
    first_token_target: Seconds = 0.32
    pace_target: Seconds = 0.076
    deadline: Seconds | None = None
    repeatable: bool = True
    goal: Literal["goodput", "wasted_prefill"] = "goodput"
    home_hall: Name | None = None
    """The hall that keeps this workspace's idempotency records; without it, each key's hall is chosen by its hash."""
    labels: Labels = field(default_factory=dict)


class Policy(Checked, frozen=True, tag_field="kind", tag="policy"):
    """A named, versioned set of parameters for a kind of decision."""

    name: Name
    algorithm: Literal["naive", "two_choices", "reserve_start", "reserve_end", "predicted"]
    version: Count = 1
    parameters: dict[str, float] = field(default_factory=dict)
    labels: Labels = field(default_factory=dict)


class Slice(Checked, frozen=True, tag_field="kind", tag="slice"):
    """A share of the traffic that a policy serves, and the policies that are compared on it."""

    name: Name
    policy: Name
    compared: list[Name] = field(default_factory=list)
    selector: str = ""
    """On the labels of the request's workspace and pool; empty selects all."""
    percent: Annotated[float, Meta(ge=0, le=100)] = 100
    rank: int = 0
    """Slices are tried from the highest rank down; the first that fits serves."""


Document = Pool | Workspace | Policy | Slice


class Settings(Checked, frozen=True):
    """All that one VM is told by its file."""

    vm: Name
    hall: Name
    caller: Caller = field(default_factory=Caller)
    admin: Admin = field(default_factory=Admin)
    peer: Peer = field(default_factory=Peer)
    platform: Platform = field(default_factory=Platform)
    limits: Limits = field(default_factory=Limits)
    timing: Timing = field(default_factory=Timing)
    log: Log = field(default_factory=Log)
    traces: Traces = field(default_factory=Traces)
    copies: Annotated[int, Meta(ge=1, le=5)] = 3
    """How many VMs of the hall hold each idempotency record; a majority must answer. 1 only where one VM is a hall."""
    configuration: list[Document] = field(default_factory=list)
    """Documents in force until the platform or a peer has newer ones."""
