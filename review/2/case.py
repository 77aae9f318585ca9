"""An odd entry of another writer, and the flows of the servers beside it."""

import time

from standins.calls import call
from standins.deployment import Deployment
from standins.flows import Client, ClientFlow
from standins.scenario import (
    SERVER_PORT,
    NotRun,
    Record,
    configuration,
    main,
    make_client,
    send_order,
    start_server,
    with_trouble,
)

SERVICE = "huvo11a"
UNNAMED_SERVICE = "wuno96b"
"""A service that no configuration names."""
SERVERS = ("i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3")
ODD_ID = "i-0dd0000e"
CLIENTS = 9
ROUNDS = 30
ODD_ROUND = 10
ROUND_S = 0.4


def play(deployment: Deployment, record: Record) -> bool:
    """Keep flows open and send requests on them while the odd entry arrives."""
    send_order(deployment, record, "PUT", "/configuration", configuration(7, [SERVICE]))
    servers = [
        start_server(deployment, record, name, number, SERVICE)
        for number, name in enumerate(SERVERS)
    ]
    time.sleep(5.0)  # longer than contact-window-ms
    clients = [make_client(deployment, number) for number in range(CLIENTS)]
    flows = [_open(client) for client in clients]
    _note_owners(servers, record)
    answered = 0
    for number in range(ROUNDS):
        if number == ODD_ROUND and with_trouble():
            _send_odd_entry(deployment, record)
        for client, flow in zip(clients, flows, strict=True):
            if flow.reset is None:
                answer = client.request(flow, f"request {number} of {client.address}")
                answered += answer is not None
                record.write(f"{client.address}: request {number} -> {answer!r}")
        for client, flow in zip(clients, flows, strict=True):
            client.poll(flow, ROUND_S / CLIENTS)
    resets = [(c.address, r) for c in clients for r in c.resets if r.was_open]
    for address, reset in resets:
        record.write(f"reset of the flow of {address}: {reset}", reset.at)
    sent = [reset for server, _ in servers for reset in server.resets]
    record.write(f"answered: {answered}, resets that servers sent: {sent}")
    for server, heartbeat in servers:
        statuses = [status for _, _, status in heartbeat.answers]
        record.write(f"{server.name}: ran {len(server.runs)}, reports {statuses}")
        heartbeat.stop()
        server.stop()
    for client in clients:
        client.close()
    return not any(reset.is_own for _, reset in resets)


def _open(client: Client) -> ClientFlow:
    flow = client.open()
    if flow is None or client.request(flow, "first request") is None:
        raise NotRun("a flow did not open")
    return flow


def _note_owners(servers: list, record: Record) -> None:  # type: ignore[type-arg]
    for server, _ in servers:
        owned = [f"{o.client}:{o.port}" for o in server.openings]
        record.write(f"flows of {server.name}: {owned}")


def _send_odd_entry(deployment: Deployment, record: Record) -> None:
    body = {
        "service": UNNAMED_SERVICE,
        "address": f"{deployment.net}.101:{SERVER_PORT}",
        "zone": "recife",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": round(time.time() * 1000),
    }
    address, port = deployment.core_addresses[0], deployment.control_port
    answer = call(address, port, "PUT", f"/instances/{ODD_ID}", body)
    record.write(f"another writer: PUT /instances/{ODD_ID} {body} -> {answer.status}")


if __name__ == "__main__":
    main(__file__, play)
