"""Application of reports on voters to the set of voters and their places."""

from functools import singledispatch

from wasabigw.core.cluster import VoterPlace
from wasabigw.core.commands import VoterAdmitted, VoterPlaced, VoterRemoved
from wasabigw.core.ids import Incarnation, NodeId

VoterChange = VoterAdmitted | VoterRemoved
VoterReport = VoterChange | VoterPlaced

Voters = dict[NodeId, Incarnation]
"""Admitted incarnation of each voter."""
Places = dict[NodeId, VoterPlace]


@singledispatch
def apply_voter_report(report: VoterReport, voters: Voters, places: Places) -> None:
    """Apply a report in place; an outdated one changes nothing."""
    raise TypeError(f"unsupported report type: {type(report).__name__}")


@apply_voter_report.register
def _(report: VoterAdmitted, voters: Voters, places: Places) -> None:
    voters[report.voter] = report.incarnation
    if report.place is not None:
        places[report.voter] = report.place


@apply_voter_report.register
def _(report: VoterRemoved, voters: Voters, places: Places) -> None:
    if voters.get(report.voter) == report.incarnation:
        del voters[report.voter]
        places.pop(report.voter, None)


@apply_voter_report.register
def _(report: VoterPlaced, voters: Voters, places: Places) -> None:
    if report.voter in voters:
        places[report.voter] = report.place
