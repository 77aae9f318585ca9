"""Repeatable measurements of decisions, speed and capacity."""
