"""Positions of figures in the rows that are summed."""

FLOWS, IN_FLIGHT, OPENINGS, ANSWERS, ANSWER_TIME = range(5)
"""Figures of a backend server, in the order of ``ServerFigures``."""
SERVER_WIDTH = 5
SERVICE_WIDTH = 3
"""Flows, requests in flight and arrivals, in the order of ``ServiceFigures``."""
