"""Model of callers, balancers and backend servers that follow the platform's pages.

The decisions are those of ``wasabigw.core.tags``; all else is simulated with a clock of
its own. The judge compares what a balancer does with what is true: which boots of
backend servers live, and where each flow is open.

Simplified: sequence numbers do not wrap, the configuration does not change, and
registrations reach the balancers in order. A balancer handles its packets one after
the other, as the task in ``wasabigw.tasks.tag_packet_task`` does. An attempt to connect
that gets no answer is not sent again, as it ends before a kernel would do that.

``faults`` has planted faults, each of which removes a condition that protects open
flows, ``fault_cases`` the scenario that finds each of them, and ``detection`` a search
for others.
"""
