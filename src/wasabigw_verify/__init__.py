"""Simulated runs of the system, and checks of its promises on their records."""
