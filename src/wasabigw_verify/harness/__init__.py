"""Simulation that runs the core of all processes on one event queue.

Sockets, disks and clocks are replaced by simulated ones.
"""
