"""Fault scenarios of balancers: kill, planned stop, lost control connections."""

import signal
import time

import requests

from wasabigw.core.cluster import endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw_demo._control import wait_for_views
from wasabigw_demo._layout import BalancerPlace
from wasabigw_demo._outcome import Check
from wasabigw_demo._record_checks import read_traffic
from wasabigw_demo._scenario import FaultRun, Scenario
from wasabigw_demo._system import HTTP_TIMEOUT, fetch_json
from wasabigw_demo.tcp_relay import RelayCommand

DRAIN_TIMEOUT = Seconds(34.0)
STALE_TIMEOUT = Seconds(8.0)
FRESH_TIMEOUT = Seconds(12.0)
FIRST_IN_DOMAIN = 0
SECOND_IN_DOMAIN = 1


def _kill(run: FaultRun) -> None:
    balancer = run.layout.balancers[SECOND_IN_DOMAIN]
    run.sleep_until(3.0)
    run.system.terminate(balancer.id, signal.SIGKILL)
    run.system.notify_fabric("gone", balancer.id)
    run.print_step(f"killed {balancer.id}")
    run.sleep_until(7.5)
    _restart(run, balancer)


def _stop(run: FaultRun) -> None:
    balancer = run.layout.balancers[FIRST_IN_DOMAIN]
    run.sleep_until(3.0)
    started_at = time.monotonic()
    run.system.terminate(balancer.id, signal.SIGTERM)
    run.system.notify_fabric("gone", balancer.id)
    run.print_step(f"stopping {balancer.id}")
    code = run.system.children.wait(balancer.id, DRAIN_TIMEOUT)
    seconds = time.monotonic() - started_at
    run.check("the balancer stopped by itself", code == 0, f"{seconds:.1f} s")
    text = run.layout.log(balancer.id).read_text(errors="replace")
    logged = "WGW-2020" in text and "WGW-4001" in text
    run.check("its log says what it waited for", logged)
    run.check("all records were handed over", "WGW-2021" not in text)
    _restart(run, balancer)


def _restart(run: FaultRun, balancer: BalancerPlace) -> None:
    run.system.start_node(balancer)
    seconds = wait_for_views(run.system, True, FRESH_TIMEOUT)
    run.system.notify_fabric("back", balancer.id)
    run.print_step(f"{balancer.id} is back, its view is fresh after {seconds:.1f} s")
    returned_at = time.monotonic()
    run.check_at_end(lambda: _check_carries_again(run, balancer.id, returned_at))


def _check_carries_again(run: FaultRun, balancer: str, since: float) -> Check:
    records = read_traffic(run.layout)
    later = {a["caller"] for a in records.attempts if a["opened_at"] > since}
    carried = sum(
        balancer in {*flow["forward"], *flow["back"]}
        for flow in records.fabric_flows
        if flow["caller"] in later
    )
    detail = f"{carried} of {len(later)} flows opened after its return"
    return Check("the balancer carries packets again", carried > 0, detail)


def _silence_connections(run: FaultRun) -> None:
    run.sleep_until(2.0)
    before = _relay_counts(run)
    _command_relay(run, RelayCommand.SILENCE_OPEN)
    run.print_step("open connections to the control VMs went silent; new ones work")
    run.sleep_until(5.5)
    seconds = wait_for_views(run.system, True, FRESH_TIMEOUT)
    after = _relay_counts(run)
    opened = after["accepted"] - before["accepted"]
    silenced = after["silenced"] - before["silenced"]
    detail = f"{silenced} silenced, {opened} opened, fresh after {seconds:.1f} s"
    run.check("new connections replace silent ones", opened >= silenced > 0, detail)
    _command_relay(run, RelayCommand.SILENCE_ALL)
    run.print_step("no connection to the control VMs forwards anything")
    seconds = wait_for_views(run.system, False, STALE_TIMEOUT)
    run.check("all views became stale", True, f"after {seconds:.1f} s")
    run.sleep_until(11.0)
    _command_relay(run, RelayCommand.RESUME)
    seconds = wait_for_views(run.system, True, FRESH_TIMEOUT)
    run.print_step(f"new connections work; all views are fresh after {seconds:.1f} s")
    run.check("all views became fresh again", True, f"after {seconds:.1f} s")


def _command_relay(run: FaultRun, command: RelayCommand) -> None:
    assert run.layout.relay_control is not None
    url = f"http://{endpoint_key(run.layout.relay_control)}/command"
    requests.post(url, params={"name": command.value}, timeout=HTTP_TIMEOUT)


def _relay_counts(run: FaultRun) -> dict[str, int]:
    assert run.layout.relay_control is not None
    return fetch_json(run.layout.relay_control, "/counts") or {}


SCENARIOS = (
    Scenario("balancer-kill", "SIGKILL of a balancer, and its restart", _kill),
    Scenario("balancer-stop", "planned stop of a balancer, and its return", _stop),
    Scenario(
        "links-cut",
        "connections between balancers and control VMs go silent",
        _silence_connections,
        relayed=True,
    ),
)
