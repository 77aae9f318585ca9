"""A client that opens a flow again from the port of a closed one, after a change."""

import time

from standins.deployment import Deployment
from standins.flows import Client
from standins.scenario import (
    NotRun,
    Record,
    configuration,
    main,
    make_client,
    send_order,
    start_server,
    with_trouble,
)

OLD_SERVICE, NEW_SERVICE = "huvo11a", "wuno96b"
SERVERS = (
    ("i-7f3a91c1", OLD_SERVICE),
    ("i-7f3a91c2", OLD_SERVICE),
    ("i-7f3a91d1", NEW_SERVICE),
    ("i-7f3a91d2", NEW_SERVICE),
)
CLIENTS = 6
APPLY_S = 3.0
"""Bound on the time until a configuration is applied (configuration-apply-ms)."""


def play(deployment: Deployment, record: Record) -> bool:
    """Use each port twice, with the change between the two flows."""
    first = configuration(7, [OLD_SERVICE, NEW_SERVICE])
    second = configuration(8, [NEW_SERVICE, OLD_SERVICE])
    send_order(deployment, record, "PUT", "/configuration", first)
    servers = [
        start_server(deployment, record, name, number, service)
        for number, (name, service) in enumerate(SERVERS)
    ]
    time.sleep(5.0)  # longer than contact-window-ms
    clients = [make_client(deployment, number) for number in range(CLIENTS)]
    ports = [_use(client, None, "before", record)[0] for client in clients]
    changed_at = time.monotonic()
    if with_trouble():
        changed_at = send_order(deployment, record, "PUT", "/configuration", second)
    time.sleep(APPLY_S + 1.0)
    is_old = []
    for client, port in zip(clients, ports, strict=True):
        record.write(f"{time.monotonic() - changed_at:.1f} s after the change")
        _, answer = _use(client, port, "after", record)
        is_old.append(OLD_SERVICE.encode() in answer)
    for server, heartbeat in servers:
        record.write(f"{server.name} ran {[run.request for run in server.runs]}")
        heartbeat.stop()
        server.stop()
    for client in clients:
        client.close()
    return not (with_trouble() and any(is_old))


def _use(
    client: Client, port: int | None, name: str, record: Record
) -> tuple[int, bytes]:
    """Open a flow, send one request and close the flow."""
    flow = client.open(port)
    if flow is None:
        raise NotRun("a flow did not open")
    answer = client.request(flow, f"{name} of {client.address}")
    client.close_flow(flow)
    record.write(f"{client.address}:{flow.port} {name} -> {answer!r}")
    return flow.port, answer or b""


if __name__ == "__main__":
    main(__file__, play)
