"""Bounded, exhaustive check of the replicated log under changes of its voters.

The check runs the real ``handle(event, state) -> effects`` of ``core/consensus``. It
explores a graph of whole states: durable and volatile state of each voter, and the
messages in flight. A state that was reached before with at least the same remaining
faults is not explored again.

Schedule
    Each state has one regular successor: the oldest message in flight is delivered, or,
    if there is none, time advances by one tick and each running voter gets a
    ``ClockTick``. Faults branch off at every state, each at the expense of a budget: a
    message is lost or delivered late; a voter crashes, with or without the messages
    that it has just sent, or between two effects of an event; a voter is cut off; all
    voters lose power and some their disks; an election timer runs out later; a snapshot
    is taken. All runs with up to the budgeted number of faults are covered; other
    interleavings of messages are not, so the check is a bounded search (Emmi, Qadeer
    and Rakamaric, "Delay-Bounded Scheduling", POPL 2011).

Time
    All clocks advance in ticks of :data:`~wasabigw_verify.log_check.world.TICK`, a
    power of two, so that differences of times are exact. A state is identified by the
    ages of its times, and an age beyond the largest duration that the code compares it
    with counts as equal to it (``fingerprint.py``). Terms and revisions stay
    absolute: the budget bounds them. Election timeouts differ by voter in an order
    that rotates with the term; the fault that delays a timer changes it.

Left out
    Marks and view leases, which influence neither elections nor the log; the order of
    several lost voters by the time of their last answer once that is older than the
    time after which they may be replaced.

Safety (``safety.py``) is checked after each event, progress (``progress.py``) on the
regular successors of each explored state.
"""
