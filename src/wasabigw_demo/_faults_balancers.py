"""Scenarios: balancers that are killed, stopped and cut off from the control VMs."""

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
from wasabigw_demo._system import HTTP_TIMEOUT, fetch
from wasabigw_demo.tcp_relay import RelayCommand

DRAIN_LIMIT = Seconds(34.0)
STALE_LIMIT = Seconds(8.0)
FRESH_LIMIT = Seconds(12.0)
FIRST_IN_DOMAIN = 0
SECOND_IN_DOMAIN = 1


def _kill(run: FaultRun) -> None:
    balancer = run.layout.balancers[SECOND_IN_DOMAIN]
    run.at(3.0)
    run.system.end(balancer.id, signal.SIGKILL)
    run.system.tell_fabric("gone", balancer.id)
    run.say(f"killed {balancer.id}")
    run.at(7.5)
    _return(run, balancer)


def _stop(run: FaultRun) -> None:
    balancer = run.layout.balancers[FIRST_IN_DOMAIN]
    run.at(3.0)
    began = time.monotonic()
    run.system.end(balancer.id, signal.SIGTERM)
    run.system.tell_fabric("gone", balancer.id)
    run.say(f"stopping {balancer.id}")
    code = run.system.children.wait(balancer.id, DRAIN_LIMIT)
    seconds = time.monotonic() - began
    run.check("the balancer stopped by itself", code == 0, f"{seconds:.1f} s")
    text = run.layout.log(balancer.id).read_text(errors="replace")
    said = "WGW-2020" in text and "WGW-4001" in text
    run.check("its log says what it waited for", said)
    run.check("all records were handed over", "WGW-2021" not in text)
    _return(run, balancer)


def _return(run: FaultRun, balancer: BalancerPlace) -> None:
    run.system.start_node(balancer)
    seconds = wait_for_views(run.system, True, FRESH_LIMIT)
    run.system.tell_fabric("back", balancer.id)
    run.say(f"{balancer.id} is back, its view is fresh after {seconds:.1f} s")
    back_at = time.monotonic()
    run.check_later(lambda: _carries_again(run, balancer.id, back_at))


def _carries_again(run: FaultRun, balancer: str, since: float) -> Check:
    records = read_traffic(run.layout)
    later = {a["caller"] for a in records.attempts if a["opened_at"] > since}
    carried = sum(
        balancer in {*use["forward"], *use["back"]}
        for use in records.uses
        if use["caller"] in later
    )
    detail = f"{carried} of {len(later)} flows opened after its return"
    return Check("the balancer carries packets again", carried > 0, detail)


def _cut_links(run: FaultRun) -> None:
    run.at(2.0)
    before = _counts(run)
    _command(run, RelayCommand.SILENCE_OPEN)
    run.say("open connections to the control VMs went silent; new ones work")
    run.at(5.5)
    seconds = wait_for_views(run.system, True, FRESH_LIMIT)
    after = _counts(run)
    opened = after["accepted"] - before["accepted"]
    silenced = after["silenced"] - before["silenced"]
    detail = f"{silenced} silenced, {opened} opened, fresh after {seconds:.1f} s"
    run.check("new connections replace silent ones", opened >= silenced > 0, detail)
    _command(run, RelayCommand.SILENCE_ALL)
    run.say("no connection to the control VMs forwards anything")
    seconds = wait_for_views(run.system, False, STALE_LIMIT)
    run.check("all views became stale", True, f"after {seconds:.1f} s")
    run.at(11.0)
    _command(run, RelayCommand.RESUME)
    seconds = wait_for_views(run.system, True, FRESH_LIMIT)
    run.say(f"new connections work; all views are fresh after {seconds:.1f} s")
    run.check("all views became fresh again", True, f"after {seconds:.1f} s")


def _command(run: FaultRun, command: RelayCommand) -> None:
    assert run.layout.relay_control is not None
    url = f"http://{endpoint_key(run.layout.relay_control)}/command"
    requests.post(url, params={"name": command.value}, timeout=HTTP_TIMEOUT)


def _counts(run: FaultRun) -> dict[str, int]:
    assert run.layout.relay_control is not None
    return fetch(run.layout.relay_control, "/counts") or {}


SCENARIOS = (
    Scenario("balancer-kill", "SIGKILL of a balancer, and its restart", _kill),
    Scenario("balancer-stop", "planned stop of a balancer, and its return", _stop),
    Scenario(
        "links-cut",
        "connections between balancers and control VMs go silent",
        _cut_links,
        relayed=True,
    ),
)
