"""Layer-4 load balancer that runs on the entry VMs of a team."""

__version__ = "0.1.0"
