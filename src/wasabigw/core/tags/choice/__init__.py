"""Which backend server gets a new flow: capacity, load figures and shares."""
