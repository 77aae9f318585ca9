"""Model of callers, balancers and backend servers that follow the platform's pages.

The decisions are those of ``wasabigw.core.tags``; all else is simulated with a clock of
its own. The judge compares what a balancer does with what is true: which boots of
backend servers live, and where each flow is open.

Simplified: there is one service and one failure domain, and sequence numbers do not
wrap. Registrations reach the balancers in order. A balancer handles its packets one
after the other, as the task in ``wasabigw.tasks.tag_packet_task`` does.
"""
