"""Backend servers that announce themselves, and a judge that knows which of them run.

The real registrar and replicated state, and a balancer that follows them, meet
announcements that are late, doubled and reordered, from clocks that differ and step,
for ids and addresses that are used again, of other writers, and changes of the leader.

``python -m wasabigw_verify.registration_model EXAMPLES SEED`` searches for longer
than the tests.
"""
