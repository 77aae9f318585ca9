"""Frames of reachability checks between balancers."""

from wasabigw.codec import geneve
from wasabigw.codec.geneve import Ping


def ping_frame(sequence: int, sent_at: int, *, reply: bool) -> bytes:
    """Encode a frame with a PING option and no inner packet."""
    option = geneve.encode_ping(Ping(sequence, sent_at, reply))
    return geneve.header((option,), oam=True)
