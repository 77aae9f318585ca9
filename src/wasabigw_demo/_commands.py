"""Command lines of the stand-ins."""

import sys
from dataclasses import dataclass

from wasabigw.core.cluster import endpoint_key
from wasabigw_demo._layout import (
    BACKEND_SERVER_RANGE,
    PROBE_ADDRESS,
    SERVICE_RANGE,
    SLOTS,
    BackendServerPlace,
    CallerPlace,
    Layout,
)
from wasabigw_demo.caller_app import REQUEST_TIMEOUT
from wasabigw_demo.server_app import COLD_CONNECTIONS


@dataclass(frozen=True, slots=True)
class TrafficOptions:
    """Faults that the fabric injects, and the traffic of the callers.

    :param drop: probability that a packet is dropped.
    :param duplicate: probability that a packet is delivered twice.
    :param delay: maximum delay of a packet in seconds.
    :param spread: whether two consecutive packets of a flow never go to the same
        balancer.
    :param traffic_seconds: time in which callers open flows.
    :param long_seconds: duration of each long flow.
    :param short_rate: short TCP flows per second of each caller.
    :param request_timeout: seconds that a caller waits for an answer.
    """

    seed: int = 1
    drop: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    spread: bool = False
    traffic_seconds: float = 22.0
    long_seconds: float = 19.0
    short_rate: float = 5.0
    request_timeout: float = REQUEST_TIMEOUT


@dataclass(frozen=True, slots=True)
class BackendServerOptions:
    """Start options of a backend server.

    :param cold_connections: connections that it accepts while it is cold.
    :param boot: number of this boot; each number gives a different boot id.
    """

    cold: bool = False
    cold_connections: int = COLD_CONNECTIONS
    boot: int = 1


def fabric_command(layout: Layout, options: TrafficOptions) -> list[str]:
    """Command line of the fabric."""
    hosts = [(place.inner.address, place.geneve) for place in layout.backend_servers]
    hosts += [(caller.address, caller.geneve) for caller in layout.callers]
    hosts.append((PROBE_ADDRESS, layout.probe))
    return [
        *_run_module("wasabigw_demo.fabric"),
        *("--listen", endpoint_key(layout.fabric)),
        *("--control", endpoint_key(layout.fabric_control)),
        *_repeat_option(
            "--balancer",
            [f"{place.id}={endpoint_key(place.data)}" for place in layout.balancers],
        ),
        *_repeat_option(
            "--host",
            [f"{inner}={endpoint_key(endpoint)}" for inner, endpoint in hosts],
        ),
        *("--service", SERVICE_RANGE),
        *("--backend-server", BACKEND_SERVER_RANGE),
        *("--record", str(layout.record("fabric"))),
        *("--drop", str(options.drop)),
        *("--duplicate", str(options.duplicate)),
        *("--delay", str(options.delay)),
        *("--seed", str(options.seed)),
        *(("--spread",) if options.spread else ()),
    ]


def backend_server_command(
    layout: Layout,
    place: BackendServerPlace,
    options: TrafficOptions,
    start: BackendServerOptions,
) -> list[str]:
    """Command line of a backend server."""
    local_balancers = [
        balancer
        for balancer in layout.balancers
        if balancer.failure_domain == place.failure_domain
    ]
    return [
        *_run_module("wasabigw_demo.backend_server"),
        *("--name", place.id),
        *("--service", place.service.id),
        *("--failure-domain", place.failure_domain),
        *("--address", endpoint_key(place.inner)),
        *("--fabric", endpoint_key(layout.fabric)),
        *("--listen", endpoint_key(place.geneve)),
        *("--control", endpoint_key(place.control)),
        *_repeat_option(
            "--balancer", [endpoint_key(balancer.api) for balancer in local_balancers]
        ),
        *("--record", str(layout.record(place.id))),
        *("--slots", str(SLOTS)),
        *("--connections", str(layout.connections)),
        *("--boot", str(start.boot)),
        *("--cold-connections", str(start.cold_connections)),
        *("--seed", str(options.seed)),
        *(["--cold"] if start.cold else []),
    ]


def caller_command(
    layout: Layout, caller: CallerPlace, options: TrafficOptions
) -> list[str]:
    """Command line of a caller."""
    targets = [
        f"{service.id}={service.protocol.name.lower()}:{endpoint_key(service.endpoint)}"
        for service in layout.services
    ]
    return [
        *_run_module("wasabigw_demo.caller"),
        *("--name", caller.name),
        *("--address", caller.address),
        *("--fabric", endpoint_key(layout.fabric)),
        *("--listen", endpoint_key(caller.geneve)),
        *_repeat_option("--target", targets),
        *("--record", str(layout.record(caller.name))),
        *("--duration", str(options.traffic_seconds)),
        *("--long-seconds", str(options.long_seconds)),
        *("--short-rate", str(options.short_rate)),
        *("--request-timeout", str(options.request_timeout)),
        *("--seed", str(options.seed)),
    ]


def relay_command(layout: Layout) -> list[str]:
    """Command line of the relay between the voters and their clients."""
    assert layout.relay_control is not None
    routes = [
        f"{endpoint_key(relay)}={endpoint_key(voter.api)}"
        for relay, voter in zip(layout.relays, layout.voters, strict=True)
    ]
    return [
        *_run_module("wasabigw_demo.tcp_relay"),
        *_repeat_option("--route", routes),
        *("--control", endpoint_key(layout.relay_control)),
    ]


def _run_module(name: str) -> list[str]:
    return [sys.executable, "-m", name]


def _repeat_option(option: str, values: list[str]) -> list[str]:
    return [word for value in values for word in (option, value)]
