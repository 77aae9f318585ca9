"""Whether an opening may come in while its service is short of room."""
