"""Stand-ins for clients, servers and the platform, used by the cases."""
