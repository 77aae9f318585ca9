"""Path and file name of views; imports nothing, because stored_view must load fast."""

VIEW_PATH = "/v1/view"
"""Path of a poll for the delivery view."""
VIEW_FILE_NAME = "view.json"
"""File in the data folder of a relay that stores its view."""
LOAD_PATH = "/v1/load"
"""Path at which a relay returns the sums of the load reports that it received."""
