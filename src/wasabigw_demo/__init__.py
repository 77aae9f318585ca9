"""Stand-ins for fabric, callers and backend servers, and the development launcher."""
