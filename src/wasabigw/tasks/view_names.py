"""Where views are asked for and kept; imports nothing, so that it loads at once."""

VIEW_PATH = "/v1/view"
"""Path of a poll for the delivery view."""
VIEW_FILE_NAME = "view.json"
"""File in the data folder of a relay that has its view."""
