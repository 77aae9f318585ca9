"""Whether the link of the balancer carries a packet, and in which order."""
